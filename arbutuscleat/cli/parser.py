"""The argument parser of ``arbutuscleat``."""

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
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="arbutuscleat",
        description="Manage pools, labels and selectors, and show their state.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--address",
        action="append",
        metavar="URL",
        help="base URL of a daemon; if repeated, the daemons are tried in order "
        "(default: ARBUTUSCLEAT_ADDRESS)",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("ARBUTUSCLEAT_TOKEN", ""),
        help="the operator's token (default: ARBUTUSCLEAT_TOKEN)",
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_pool(commands)
    _add_label(commands)
    _add_selector(commands)
    _add_wave(commands)
    _add_change(commands)
    _add_read_commands(commands)
    return parser


def _add_command(commands, name: str, summary: str, example: str):
    return commands.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def _add_change_options(parser) -> None:
    parser.add_argument(
        "--change-id", help="id of the change, to send it again (default: a new id)"
    )
    parser.add_argument(
        "--expected-version",
        type=int,
        help="version of the object to replace (default: its current version)",
    )
    parser.add_argument(
        "--wait",
        type=float,
        metavar="SECONDS",
        help="maximum time to wait until the change is in force everywhere",
    )


def _add_pool(commands) -> None:
    pool = _add_command(
        commands, "pool", "show and set pools", "arbutuscleat pool list"
    )
    actions = pool.add_subparsers(dest="action", required=True)
    _add_command(actions, "list", "list the pools", "arbutuscleat pool list")
    show = _add_command(
        actions, "show", "show one pool", "arbutuscleat pool show portal"
    )
    show.add_argument("name")
    example = (
        "arbutuscleat pool set billing --service billing --min-available 6 "
        "--membership 'tier=billing'"
    )
    set_action = _add_command(actions, "set", "create or change a pool", example)
    set_action.add_argument("name")
    set_action.add_argument("--service", required=True)
    set_action.add_argument("--min-available", type=int, required=True)
    set_action.add_argument("--membership", required=True, metavar="SELECTOR")
    set_action.add_argument("--spare", action="store_true")
    _add_change_options(set_action)


def _add_label(commands) -> None:
    example = "arbutuscleat label set instance worker-7 drained=true"
    label = _add_command(commands, "label", "show and set labels", example)
    actions = label.add_subparsers(dest="action", required=True)
    _add_command(actions, "list", "list the labels", "arbutuscleat label list")
    set_action = _add_command(
        actions, "set", "replace the labels of an object", example
    )
    set_action.add_argument("target", choices=["instance", "service"])
    set_action.add_argument("name")
    set_action.add_argument("labels", nargs="*", metavar="KEY=VALUE")
    _add_change_options(set_action)


def _add_selector(commands) -> None:
    example = (
        "arbutuscleat selector set spill --purpose placement --pool portal "
        "--jobs 'kind=report'"
    )
    selector = _add_command(commands, "selector", "show and set selectors", example)
    actions = selector.add_subparsers(dest="action", required=True)
    _add_command(actions, "list", "list the selectors", "arbutuscleat selector list")
    set_action = _add_command(actions, "set", "create or change a selector", example)
    set_action.add_argument("name")
    set_action.add_argument(
        "--purpose", required=True, choices=["placement", "maintenance"]
    )
    set_action.add_argument("--jobs", default="", metavar="SELECTOR")
    set_action.add_argument("--instances", default="", metavar="SELECTOR")
    set_action.add_argument("--pool", default="")
    _add_change_options(set_action)


def _add_change(commands) -> None:
    example = "arbutuscleat change show 0f3c"
    change = _add_command(commands, "change", "show a change", example)
    actions = change.add_subparsers(dest="action", required=True)
    show = _add_command(
        actions, "show", "show the result of a change and where it is in force", example
    )
    show.add_argument("name")


def _add_wave(commands) -> None:
    example = "arbutuscleat wave show kernel-update"
    wave = _add_command(commands, "wave", "show maintenance waves", example)
    actions = wave.add_subparsers(dest="action", required=True)
    _add_command(actions, "list", "list the waves", "arbutuscleat wave list")
    show = _add_command(actions, "show", "show the progress of a wave", example)
    show.add_argument("name")


def _add_read_commands(commands) -> None:
    _add_command(
        commands,
        "status",
        "show the leader and the versions in force",
        "arbutuscleat status",
    )
    example = "arbutuscleat explain instance worker-7"
    explain = _add_command(
        commands, "explain", "explain the pool assignment of an instance", example
    )
    explain.add_argument("target", choices=["instance"])
    explain.add_argument("name")
