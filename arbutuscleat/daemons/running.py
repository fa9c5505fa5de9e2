"""Running a daemon: command-line options, signal handling and exit codes."""

import argparse
import signal
import sys
import threading
from pathlib import Path
from queue import SimpleQueue
from typing import Protocol, TypeVar

from absl import logging
from returns.result import Failure

from arbutuscleat.nodes.running import (
    EXIT_OK,
    exit_on_invariant_error,
    wait_for_action,
)
from arbutuscleat.settings import ProcessSettings, load_settings
from arbutuscleat.telemetry import configure_logs

EXIT_SETTINGS = 2

S = TypeVar("S", bound=ProcessSettings)


class Daemon(Protocol):
    """A daemon that can be started and stopped."""

    def start(self) -> None:
        """Start all parts."""

    def stop(self) -> None:
        """Stop gracefully."""


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that both daemons share."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=(
            "exit codes: 0 stopped gracefully, 1 failed, 2 invalid settings, "
            "70 invariant violated"
        ),
    )
    parser.add_argument("settings", type=Path, help="settings file, JSON with comments")
    parser.add_argument(
        "--check-settings", action="store_true", help="validate the settings and exit"
    )
    return parser


def read_settings(file: Path, model: type[S]) -> S | None:
    """Load the settings and configure logging.

    Returns
    -------
    ProcessSettings or None
        None if the settings are invalid; each error has been printed to stderr.
    """
    result = load_settings(file, model)
    if isinstance(result, Failure):
        for error in result.failure():
            print(error, file=sys.stderr)
        return None
    cfg = result.unwrap()
    configure_logs(cfg.node_id, cfg.logs.level)
    return cfg


def run_until_stopped(daemon: Daemon) -> int:
    """Run a daemon until SIGTERM or SIGINT, and return the exit code."""
    actions: SimpleQueue[str] = SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: actions.put("stop"))
    threading.excepthook = exit_on_invariant_error
    daemon.start()
    wait_for_action(actions)
    logging.info("stopping")
    daemon.stop()
    logging.info("stopped")
    return EXIT_OK
