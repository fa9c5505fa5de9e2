"""Set-up of a process's logs."""

import logging as standard_logging
import sys
import time

from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from .bounded_handler import BoundedHandler
from .rate_limiter import LogRateLimiter


def configure_logs(node_id: str, level: int = logging.INFO) -> BoundedHandler:
    """Send all logs of the process to the standard output as JSON lines.

    Parameters
    ----------
    node_id : str
        Stands in every line.
    level : int
        One of absl's levels.

    Returns
    -------
    BoundedHandler
        Counts what it has dropped.
    """
    flags.FLAGS.mark_as_parsed()
    handler = BoundedHandler(sys.stdout, time.monotonic, LogRateLimiter())
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}{filename}{lineno}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node_id": node_id},
        )
    )
    handler.start()
    # absl's own handler writes on the caller's thread; its logger keeps the calls.
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    logging.set_verbosity(level)
    # Each of its failures is an error value of ours, and logged where it matters.
    standard_logging.getLogger("thrift").setLevel(standard_logging.CRITICAL)
    return handler
