"""Entry point of ``arbutuscleat``."""

import os
import sys

from .client import OperatorClient
from .commands import EXIT_USAGE, Commands
from .parser import make_parser


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; by default those of the process.

    Returns
    -------
    int
        The exit code.
    """
    options = make_parser().parse_args(argv)
    addresses = options.address or os.environ.get("ARBUTUSCLEAT_ADDRESS", "").split()
    if not addresses:
        print("wrong usage: --address or ARBUTUSCLEAT_ADDRESS is required")
        return EXIT_USAGE
    return Commands(OperatorClient(addresses, options.token), options.json).run(options)


if __name__ == "__main__":
    sys.exit(main())
