"""Running a node: signals, broken invariants, exit code."""

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


class Node(Protocol):
    """A process that can be started and stopped."""

    def start(self) -> None:
        """Start every task."""

    def stop(self) -> None:
        """Stop gracefully."""

    def reload(self) -> None:
        """Take note of changed settings."""


def run_until_stopped(node: Node) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    woken = threading.Event()
    asked: set[str] = set()

    def ask(what: str) -> None:
        asked.add(what)
        woken.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ask("stop"))
    signal.signal(signal.SIGHUP, lambda *_: ask("reload"))
    threading.excepthook = exit_on_invariant_error
    node.start()
    while "stop" not in asked:
        woken.wait()
        woken.clear()
        if "reload" in asked:
            asked.discard("reload")
            logging.info("settings are read again")
            node.reload()
    logging.info("stopping")
    try:
        node.stop()
    except Exception:
        logging.exception("the stop was not graceful")
        # Threads of the HTTP server would keep the process.
        standard_logging.shutdown()
        os._exit(EXIT_FAILED)
    logging.info("stopped")
    return EXIT_OK


def exit_on_invariant_error(failure: threading.ExceptHookArgs) -> None:
    """End the process when a task meets a broken invariant; else log and go on."""
    if failure.exc_type is SystemExit:
        return
    name = failure.thread.name if failure.thread is not None else ""
    logging.error("task %s failed", name, exc_info=failure.exc_value)
    if issubclass(failure.exc_type, InvariantError):
        standard_logging.shutdown()
        os._exit(EXIT_INVARIANT)
