"""Command line of ``arbutuscleat-entry``."""

import sys

from absl import logging

from arbutuscleat.nodes.running import EXIT_FAILED, EXIT_OK
from arbutuscleat.settings import EntrySettings

from .entry import EntryDaemon
from .running import (
    EXIT_SETTINGS,
    make_parser,
    read_settings,
    run_until_stopped,
)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    options = make_parser("arbutuscleat-entry", "an entry instance").parse_args(argv)
    cfg = read_settings(options.settings, EntrySettings)
    if cfg is None:
        return EXIT_SETTINGS
    if options.check_settings:
        return EXIT_OK
    try:
        return run_until_stopped(EntryDaemon(cfg))
    except OSError as exc:
        logging.error("%s", exc)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
