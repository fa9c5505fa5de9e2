"""Command line of ``arbutuscleat-control``."""

import sys

from absl import logging

from arbutuscleat.consensus import AlreadyInitialisedError, DamagedFileError
from arbutuscleat.nodes.running import EXIT_FAILED, EXIT_OK
from arbutuscleat.settings import ControlSettings

from .control import ControlDaemon, initialise_data_folder
from .running import (
    EXIT_SETTINGS,
    make_parser,
    read_settings,
    run_until_stopped,
)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    parser = make_parser("arbutuscleat-control", "a member of the consensus group")
    parser.add_argument(
        "--initialise",
        action="store_true",
        help="initialise a founder's data folder once before the first start, and exit",
    )
    options = parser.parse_args(argv)
    cfg = read_settings(options.settings, ControlSettings)
    if cfg is None:
        return EXIT_SETTINGS
    if options.check_settings:
        return EXIT_OK
    try:
        if options.initialise:
            initialise_data_folder(cfg)
            return EXIT_OK
        return run_until_stopped(ControlDaemon(cfg))
    except (AlreadyInitialisedError, DamagedFileError, OSError) as exc:
        logging.error("%s", exc)
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
