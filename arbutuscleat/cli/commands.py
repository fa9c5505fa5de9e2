"""The commands of ``arbutuscleat``.

A change is sent under an id.  If no daemon answers, the id is printed, so that the
operator can send the same change again.
"""

import argparse
import json
import time
import uuid
from typing import Any

from returns.result import Failure

from .client import OperatorClient, Reply
from .tables import format_table

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_NOT_IN_FORCE = 4
POLL_INTERVAL_SECONDS = 0.05
UNREACHABLE_STATUSES = (503, 504)

_COLUMNS = {
    "pools": [
        *["name", "service", "min_available", "available", "headroom", "spare"],
        *["membership", "version"],
    ],
    "waves": ["name", "instances", "state", "done", "paused_because", "version"],
    "labels": ["target", "name", "labels", "version"],
    "selectors": ["name", "purpose", "jobs", "instances", "pool", "version"],
}


class Commands:
    """Runs one command and prints its result.

    Parameters
    ----------
    client : OperatorClient
        Sends the requests to the daemons.
    as_json : bool
        Whether to print JSON instead of tables.
    """

    def __init__(self, client: OperatorClient, as_json: bool):
        self._client = client
        self._as_json = as_json

    def run(self, options: argparse.Namespace) -> int:
        """Run a command.

        Parameters
        ----------
        options : argparse.Namespace
            The parsed command line.

        Returns
        -------
        int
            The exit code.
        """
        action = getattr(options, "action", "")
        if options.command == "status":
            return self._status()
        if options.command == "explain":
            return self._show(f"/v1/instances/{options.name}")
        if options.command == "change":
            return self._show(f"/v1/changes/{options.name}")
        if action == "list":
            return self._list(f"{options.command}s")
        if action == "show":
            return self._show(f"/v1/{options.command}s/{options.name}")
        return self._change(options)

    # ---- commands that read ----

    def _status(self) -> int:
        reply = self._get("/v1/status")
        if isinstance(reply, int):
            return reply
        if self._as_json:
            print(json.dumps(reply.content))
            return EXIT_OK
        content = reply.content
        print(
            f"leader {content['leader']}, term {content['term']}, "
            f"commit index {content['commit_index']}, version {content['version']}"
        )
        self._print_table(
            ["node_id", "data_centre", "in_force_version", "age_ms"], content["entries"]
        )
        return EXIT_OK

    def _list(self, kind: str) -> int:
        reply = self._get(f"/v1/{kind}")
        if isinstance(reply, int):
            return reply
        if self._as_json:
            print(json.dumps(reply.content))
        else:
            self._print_table(_COLUMNS[kind], reply.content["items"])
        return EXIT_OK

    def _show(self, path: str) -> int:
        reply = self._get(path)
        if isinstance(reply, int):
            return reply
        if self._as_json:
            print(json.dumps(reply.content))
        else:
            rows = [[key, _format_cell(value)] for key, value in reply.content.items()]
            print(format_table(["FIELD", "VALUE"], rows))
        return EXIT_OK

    # ---- commands that change ----

    def _change(self, options: argparse.Namespace) -> int:
        try:
            kind, path, content = _make_content(options)
        except ValueError as exc:
            print(f"wrong usage: {exc}")
            return EXIT_USAGE
        expected = options.expected_version
        if expected is None:
            found = self._client.get(path)
            if isinstance(found, Failure):
                return self._print_unreachable(found.failure().detail)
            expected = _current_version(found.unwrap())
        change_id = options.change_id or uuid.uuid4().hex
        body = {"kind": kind, "expected_version": expected, "content": content}
        result = self._client.put(f"/v1/changes/{change_id}", body)
        if isinstance(result, Failure):
            print(f"resend with --change-id {change_id}")
            return self._print_unreachable(result.failure().detail)
        reply = result.unwrap()
        if not reply.succeeded():
            return self._print_refusal(reply)
        self._print_change(reply.content)
        if options.wait is None:
            return EXIT_OK
        return self._wait(change_id, options.wait)

    def _wait(self, change_id: str, seconds: float) -> int:
        end = time.monotonic() + seconds
        while True:
            result = self._client.get(f"/v1/changes/{change_id}")
            if not isinstance(result, Failure):
                reply = result.unwrap()
                if reply.succeeded() and reply.content["in_force_everywhere"]:
                    if not self._as_json:
                        print("in force everywhere")
                    return EXIT_OK
            if time.monotonic() >= end:
                print(f"not in force everywhere within {seconds:g} s")
                return EXIT_NOT_IN_FORCE
            time.sleep(POLL_INTERVAL_SECONDS)

    # ---- requests and output ----

    def _get(self, path: str) -> Reply | int:
        """Return the reply, or the exit code if the request failed."""
        result = self._client.get(path)
        if isinstance(result, Failure):
            return self._print_unreachable(result.failure().detail)
        reply = result.unwrap()
        return reply if reply.succeeded() else self._print_refusal(reply)

    def _print_change(self, content: dict[str, Any]) -> None:
        if self._as_json:
            print(json.dumps(content))
        else:
            print(f"accepted as version {content['version']}: {content['change_id']}")

    def _print_refusal(self, reply: Reply) -> int:
        if self._as_json:
            print(json.dumps(reply.content))
        else:
            content = reply.content
            reason = content.get("reason") or content.get("title", "")
            source = content.get("source", "")
            place = f" ({source})" if source else ""
            print(f"refused: {reason}{place}: {content.get('detail', '')}")
        if reply.status in UNREACHABLE_STATUSES:
            return EXIT_UNREACHABLE
        return EXIT_REFUSED

    def _print_unreachable(self, detail: str) -> int:
        print(f"no daemon answered: {detail}")
        return EXIT_UNREACHABLE

    def _print_table(self, columns: list[str], items: list[dict[str, Any]]) -> None:
        headings = [column.upper().replace("_", "-") for column in columns]
        rows = [[_format_cell(item[column]) for column in columns] for item in items]
        print(format_table(headings, rows))


def _make_content(options: argparse.Namespace) -> tuple[str, str, dict[str, Any]]:
    """Return the kind, the path of the object and the content of a change."""
    if options.command == "pool":
        content = {
            "name": options.name,
            "service": options.service,
            "min_available": options.min_available,
            "spare": options.spare,
            "membership": options.membership,
        }
        return "pool", f"/v1/pools/{options.name}", content
    if options.command == "label":
        content = {
            "target": options.target,
            "name": options.name,
            "labels": _parse_labels(options.labels),
        }
        return "labels", f"/v1/labels/{options.target}/{options.name}", content
    content = {
        "name": options.name,
        "purpose": options.purpose,
        "jobs": options.jobs,
        "instances": options.instances,
        "pool": options.pool,
    }
    return "selector", f"/v1/selectors/{options.name}", content


def _parse_labels(items: list[str]) -> dict[str, str]:
    labels = {}
    for item in items:
        key, separator, value = item.partition("=")
        if not separator:
            raise ValueError(f"label {item!r} is not of the form KEY=VALUE")
        labels[key] = value
    return labels


def _current_version(reply: Reply) -> int:
    return reply.content["version"] if reply.succeeded() else 0


def _format_cell(value: Any) -> str:
    if isinstance(value, dict):
        return ",".join(f"{key}={item}" for key, item in sorted(value.items()))
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)
