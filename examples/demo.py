"""End-to-end demo on loopback; run it with `make demo`.

It starts three control instances, four entry instances in two data centres and some
emulated endpoints, creates pools and selectors with the command line, sends an
idempotent and a non-idempotent request through two entry instances, and stops all
processes gracefully.
"""

import contextlib
import io
import shutil
import sys
from pathlib import Path

from arbutuscleat.cli import main as arbutuscleat
from arbutuscleat.emulator import OPERATOR_TOKEN, EndpointPlan, FleetPlan, LocalFleet

FOLDER = Path("run") / "demo"

ENDPOINTS = [
    EndpointPlan("worker-khi-1", "karachi", "billing", "rack-1", ["tier=billing"]),
    EndpointPlan("worker-khi-2", "karachi", "billing", "rack-2", ["tier=billing"]),
    EndpointPlan("worker-khi-3", "karachi", "portal", "rack-1", ["tier=portal"]),
    EndpointPlan("worker-qas-1", "qasim", "billing", "rack-1", ["tier=billing"]),
    EndpointPlan("worker-qas-2", "qasim", "portal", "rack-1", ["tier=portal"]),
]

COMMANDS = [
    [
        *["pool", "set", "billing", "--service", "billing", "--min-available", "2"],
        *["--membership", "tier=billing", "--wait", "10"],
    ],
    [
        *["pool", "set", "portal", "--service", "portal", "--min-available", "1"],
        *["--membership", "tier=portal", "--spare", "--wait", "10"],
    ],
    ["label", "set", "service", "billing", "team=settlement", "--wait", "10"],
    [
        *["selector", "set", "spill", "--purpose", "placement", "--pool", "portal"],
        *["--jobs", "kind=report", "--wait", "10"],
    ],
    ["pool", "list"],
]


def run_command(fleet: LocalFleet, arguments: list[str]) -> str:
    """Run one command, print it with its output, and return the output."""
    url = next(iter(fleet.http_urls.values()))
    options = ["--address", url, "--token", OPERATOR_TOKEN]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = arbutuscleat([*options, *arguments])
    print(f"$ arbutuscleat {' '.join(arguments)}")
    print(output.getvalue(), end="")
    if code:
        raise RuntimeError(f"the command exited with code {code}")
    return output.getvalue()


def wait_assigned(fleet: LocalFleet) -> None:
    """Wait until every entry instance reports a pool for every instance."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    entries = [url for name, url in fleet.http_urls.items() if name.startswith("entry")]

    def is_assigned() -> bool:
        for url in entries:
            reply = fleet.request("GET", f"{url}/v1/instances", headers).json()
            pools = [item["pool"] for item in reply.get("items", [])]
            if len(pools) < len(ENDPOINTS) or not all(pools):
                return False
        return True

    fleet.wait_for(is_assigned, "every instance to be assigned to a pool")


def send(fleet: LocalFleet, url: str, method: str, key: str) -> None:
    """Send one request and print its answer, outcome, instance and trace id."""
    headers = {"Arbutuscleat-Labels": "kind=billing-run"}
    if key:
        headers["Idempotency-Key"] = key
    target = f"{url}/v1/services/billing/runs/2026-12"
    body = b'{"month": "2026-12"}' if method == "POST" else b""
    response = fleet.request(method, target, headers, body)
    print(f"{method} {target}")
    print(f"  status    {response.status}")
    for name in ("outcome", "instance", "trace"):
        print(f"  {name:9} {response.headers.get('Arbutuscleat-' + name, '')}")
    print(f"  answer    {response.data.decode()}")


def show(fleet: LocalFleet) -> None:
    """Run the commands and requests of the demo."""
    for plan in ENDPOINTS:
        fleet.start_endpoint(plan)
    for arguments in COMMANDS:
        run_command(fleet, arguments)
    wait_assigned(fleet)
    run_command(fleet, ["explain", "instance", "worker-khi-1"])
    run_command(fleet, ["status"])
    karachi = fleet.entries("karachi")
    send(fleet, karachi[0], "GET", "")
    send(fleet, karachi[1], "POST", "billing-run-2026-12")
    print("The same key again, through the other entry instance:")
    send(fleet, karachi[0], "POST", "billing-run-2026-12")


def main() -> int:
    """Run the demo and return its exit code."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    fleet = LocalFleet(FOLDER, FleetPlan(sample_ratio=1.0))
    try:
        fleet.start()
        show(fleet)
        codes = fleet.stop()
        print("exit codes:", " ".join(f"{name}={code}" for name, code in codes.items()))
        return 0 if not any(codes.values()) else 1
    finally:
        fleet.kill()


if __name__ == "__main__":
    sys.exit(main())
