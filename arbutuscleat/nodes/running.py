"""Running a node: signal handling, violated invariants and exit codes."""

import logging as standard_logging
import os
import signal
import threading
from queue import Empty, SimpleQueue
from typing import NoReturn, Protocol

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
    # `SimpleQueue.put` may interrupt any call in the same thread, `Event.set` may not.
    actions: SimpleQueue[str] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: actions.put("stop"))
    signal.signal(signal.SIGHUP, lambda *_: actions.put("reload"))
    threading.excepthook = exit_on_invariant_error
    node.start()
    while wait_for_action(actions) != "stop":
        logging.info("reloading settings")
        node.reload()
    logging.info("stopping")
    try:
        node.stop()
    except Exception:
        logging.exception("graceful stop failed")
        # Threads of the HTTP server may still run and would keep the process alive.
        exit_process(EXIT_FAILED)
    logging.info("stopped")
    return EXIT_OK


def wait_for_action(actions: SimpleQueue[str]) -> str:
    """Wait in the main thread for what a signal handler has put into a queue.

    A wait without a timeout would not end if another thread received the signal.
    """
    while True:
        try:
            return actions.get(timeout=SIGNAL_CHECK_SECONDS)
        except Empty:
            continue


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
        exit_process(EXIT_INVARIANT)


def exit_process(code: int) -> NoReturn:
    """Close the logs and end the process without finalising the interpreter.

    A node that has stopped has nothing left to release, while the last garbage
    collection takes seconds on a machine that is short of processor time.
    """
    standard_logging.shutdown()
    os._exit(code)
