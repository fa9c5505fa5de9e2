"""The options of ``arbutuscleat``."""

import argparse
import os

EXIT_CODES = """\
exit codes:
  0  done
  1  refused by the system; the reason is printed
  2  wrong usage
  3  no daemon answered, or control has no quorum
  4  accepted, but not in force everywhere within --wait
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="arbutuscleat",
        description="Create pools, label instances and jobs, write selectors.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--address",
        action="append",
        metavar="URL",
        help="a daemon's address, more than one to try; or ARBUTUSCLEAT_ADDRESS",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("ARBUTUSCLEAT_TOKEN", ""),
        help="the operator's token, or ARBUTUSCLEAT_TOKEN",
    )
    parser.add_argument("--json", action="store_true", help="print JSON for machines")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_pool(commands)
    _add_label(commands)
    _add_selector(commands)
    _add_wave(commands)
    _add_change(commands)
    _add_reading(commands)
    return parser


def _command(commands, name: str, summary: str, example: str):
    return commands.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_change_options(parser) -> None:
    parser.add_argument("--change-id", help="to resend a change; new when not given")
    parser.add_argument(
        "--expected-version",
        type=int,
        help="version of the object that is replaced; read first when not given",
    )
    parser.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="wait until the change is in force everywhere",
    )


def _add_pool(commands) -> None:
    pool = _command(commands, "pool", "show and set pools", "arbutuscleat pool list")
    actions = pool.add_subparsers(dest="action", required=True)
    _command(actions, "list", "list the pools", "arbutuscleat pool list")
    show = _command(actions, "show", "show one pool", "arbutuscleat pool show portal")
    show.add_argument("name")
    example = (
        "arbutuscleat pool set billing --service billing --min-available 6 "
        "--membership 'tier=billing'"
    )
    setter = _command(actions, "set", "create or change a pool", example)
    setter.add_argument("name")
    setter.add_argument("--service", required=True)
    setter.add_argument("--min-available", type=int, required=True)
    setter.add_argument("--membership", required=True, metavar="SELECTOR")
    setter.add_argument("--spare", action="store_true")
    _add_change_options(setter)


def _add_label(commands) -> None:
    example = "arbutuscleat label set instance worker-7 drained=true"
    label = _command(commands, "label", "show and set labels", example)
    actions = label.add_subparsers(dest="action", required=True)
    _command(actions, "list", "list the labels", "arbutuscleat label list")
    setter = _command(actions, "set", "replace the labels of an object", example)
    setter.add_argument("target", choices=["instance", "service"])
    setter.add_argument("name")
    setter.add_argument("labels", nargs="*", metavar="KEY=VALUE")
    _add_change_options(setter)


def _add_selector(commands) -> None:
    example = (
        "arbutuscleat selector set spill --purpose placement --pool portal "
        "--jobs 'kind=report'"
    )
    selector = _command(commands, "selector", "show and set selectors", example)
    actions = selector.add_subparsers(dest="action", required=True)
    _command(actions, "list", "list the selectors", "arbutuscleat selector list")
    setter = _command(actions, "set", "create or change a selector", example)
    setter.add_argument("name")
    setter.add_argument(
        "--purpose", required=True, choices=["placement", "maintenance"]
    )
    setter.add_argument("--jobs", default="", metavar="SELECTOR")
    setter.add_argument("--instances", default="", metavar="SELECTOR")
    setter.add_argument("--pool", default="")
    _add_change_options(setter)


def _add_change(commands) -> None:
    example = "arbutuscleat change show 0f3c"
    change = _command(commands, "change", "show a change", example)
    actions = change.add_subparsers(dest="action", required=True)
    show = _command(actions, "show", "show verdict and where it is in force", example)
    show.add_argument("name")


def _add_wave(commands) -> None:
    example = "arbutuscleat wave show kernel-update"
    wave = _command(commands, "wave", "show maintenance waves", example)
    actions = wave.add_subparsers(dest="action", required=True)
    _command(actions, "list", "list the waves", "arbutuscleat wave list")
    show = _command(actions, "show", "show how far a wave has come", example)
    show.add_argument("name")


def _add_reading(commands) -> None:
    _command(commands, "status", "show leader and versions", "arbutuscleat status")
    example = "arbutuscleat explain instance worker-7"
    explain = _command(commands, "explain", "explain a decision", example)
    explain.add_argument("target", choices=["instance"])
    explain.add_argument("name")
