"""Structured logs for processes that carry no spans: JSON lines on standard output."""

import logging as standard_logging
import sys

from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter


def configure_logs(node_id: str, level: int = logging.INFO) -> None:
    """Send all logs of the process to the standard output as JSON lines.

    Parameters
    ----------
    node_id : str
        Stands in every line.
    level : int
        One of absl's levels.
    """
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}{filename}{lineno}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node_id": node_id},
        )
    )
    handler.python_handler.stream = sys.stdout
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Each of its failures is an error value of ours, and logged where it matters.
    standard_logging.getLogger("thrift").setLevel(standard_logging.CRITICAL)
