"""Structured logs: absl logging, written as JSON lines.

Each line holds the node id of the process and the id of the current trace.
"""

import logging as standard_logging

from absl import flags, logging
from opentelemetry import trace
from pythonjsonlogger.json import JsonFormatter

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _ContextFilter(standard_logging.Filter):
    """Adds the node id and the trace id to each record."""

    def __init__(self, node_id: str):
        super().__init__()
        self._node_id = node_id

    def filter(self, record: standard_logging.LogRecord) -> bool:
        context = trace.get_current_span().get_span_context()
        record.node_id = self._node_id
        record.trace_id = f"{context.trace_id:032x}" if context.is_valid else ""
        return True


def configure_logs(node_id: str, level: str) -> None:
    """Write all logs of the process to standard error as JSON lines.

    Parameters
    ----------
    node_id : str
        Identity of this process, written into each line.
    level : str
        Minimum level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # The daemons parse their options with argparse, so absl has no flags to parse.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}{node_id}{trace_id}{filename}{lineno}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    handler.addFilter(_ContextFilter(node_id))
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
