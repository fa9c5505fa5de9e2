"""Configuration of the logs of a process."""

import logging as standard_logging
import sys
import time

from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from .bounded_handler import BoundedHandler
from .rate_limiter import LogRateLimiter


def configure_logs(node_id: str, level: int = logging.INFO) -> BoundedHandler:
    """Write all logs of the process to standard output as JSON lines.

    Parameters
    ----------
    node_id : str
        Added to every line.
    level : int
        Verbosity, as an absl level.

    Returns
    -------
    BoundedHandler
        The running handler, which counts the lines that it has dropped.
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
    # Replaces absl's own handler, which writes on the calling thread.  absl's logger
    # is kept, since absl's functions log through it.
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    logging.set_verbosity(level)
    # Thrift errors are returned as values and logged by the caller where they matter.
    standard_logging.getLogger("thrift").setLevel(standard_logging.CRITICAL)
    return handler
