"""Running a node: signal handling, violated invariants and exit codes."""

import logging as standard_logging
import os
import signal
import threading
from typing import Protocol

from absl import logging

from arbutuscleat.core import InvariantError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVARIANT = 70

SIGNAL_CHECK_SECONDS = 0.5
"""Maximum delay of a signal that the kernel delivers to a thread other than the main
thread, which alone runs the handlers."""


class Node(Protocol):
    """A process that can be started and stopped."""

    def start(self) -> None:
        """Start every task."""

    def stop(self) -> None:
        """Stop gracefully."""

    def reload(self) -> None:
        """Apply changed settings."""


def run_until_stopped(node: Node) -> int:
    """Run a node until SIGTERM or SIGINT, and return the exit code.

    SIGHUP calls `Node.reload`.
    """
    wakeup = threading.Event()
    requested: set[str] = set()

    def request(action: str) -> None:
        requested.add(action)
        wakeup.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: request("stop"))
    signal.signal(signal.SIGHUP, lambda *_: request("reload"))
    threading.excepthook = exit_on_invariant_error
    node.start()
    while "stop" not in requested:
        wait_for_signal(wakeup)
        wakeup.clear()
        if "reload" in requested:
            requested.discard("reload")
            logging.info("reloading settings")
            node.reload()
    logging.info("stopping")
    try:
        node.stop()
    except Exception:
        logging.exception("graceful stop failed")
        # Threads of the HTTP server may still run and would keep the process alive.
        standard_logging.shutdown()
        os._exit(EXIT_FAILED)
    logging.info("stopped")
    return EXIT_OK


def wait_for_signal(event: threading.Event) -> None:
    """Wait in the main thread for an event that a signal handler sets.

    A wait without a timeout would not end if another thread received the signal.
    """
    while not event.wait(SIGNAL_CHECK_SECONDS):
        pass


def exit_on_invariant_error(failure: threading.ExceptHookArgs) -> None:
    """Log an exception that ended a thread; exit the process on `InvariantError`.

    The process must not go on with a violated invariant.  It exits with
    `EXIT_INVARIANT`; after any other exception it continues.
    """
    if failure.exc_type is SystemExit:
        return
    name = failure.thread.name if failure.thread is not None else ""
    logging.error("thread %s failed", name, exc_info=failure.exc_value)
    if issubclass(failure.exc_type, InvariantError):
        standard_logging.shutdown()
        os._exit(EXIT_INVARIANT)
