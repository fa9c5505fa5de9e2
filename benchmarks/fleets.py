"""Local fleets of processes that the benchmarks run against."""

import json
import shutil
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from arbutuscleat.emulator import OPERATOR_TOKEN, EndpointPlan, FleetPlan, LocalFleet

FOLDER = Path("run") / "benchmarks"
OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


@contextmanager
def running_fleet(plan: FleetPlan, name: str) -> Iterator[LocalFleet]:
    """Run a fleet for the duration of a ``with`` block, in a fresh folder."""
    folder = FOLDER / name
    shutil.rmtree(folder, ignore_errors=True)
    fleet = LocalFleet(folder, plan)
    try:
        fleet.start()
        yield fleet
        fleet.stop()
    finally:
        fleet.kill()


def set_pool(fleet: LocalFleet, name: str, change_id: str) -> None:
    """Create a pool for the endpoints with the label ``tier=NAME``."""
    content = {
        "name": name,
        "service": name,
        "min_available": 0,
        "membership": f"tier={name}",
    }
    put_change(fleet, change_id, {"kind": "pool", "content": content})


def put_change(fleet: LocalFleet, change_id: str, body: dict) -> dict:
    """Propose a change through the first daemon and return the decoded answer."""
    url = next(iter(fleet.http_urls.values()))
    content = json.dumps({"expected_version": 0, **body}).encode()
    target = f"{url}/v1/changes/{change_id}"
    response = fleet.request("PUT", target, OPERATOR_HEADERS, content)
    return response.json()


def start_endpoints(fleet: LocalFleet, plans: Sequence[EndpointPlan]) -> list[str]:
    """Start endpoints, wait until each is assigned to a pool, and return their URLs."""
    urls = [fleet.start_endpoint(plan) for plan in plans]
    entry = next(u for name, u in fleet.http_urls.items() if name.startswith("entry"))

    def are_assigned() -> bool:
        reply = fleet.request("GET", f"{entry}/v1/instances", OPERATOR_HEADERS).json()
        pools = [item["pool"] for item in reply.get("items", [])]
        return len(pools) == len(plans) and all(pools)

    fleet.wait_for(are_assigned, "every endpoint to be assigned to a pool")
    return urls
