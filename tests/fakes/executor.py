"""An executor without threads, on a job table without consensus."""

from arbutuscleat.execution import ExecutionLimits, Executor
from arbutuscleat.scheduling import Planner
from tests.fakes.replica import HarnessReplica


def make_executor(harness, clock, make_client):
    """Return an executor whose steps, and those of its sessions, the test runs."""
    return Executor(
        HarnessReplica(harness),
        harness.table,
        make_client,
        Planner(),
        clock,
        ExecutionLimits(),
        start_threads=False,
    )


def run_once(executor):
    """Run one iteration of an executor and of its sessions."""
    executor.run_once()
    for session in executor.sessions.values():
        session.send_queued_orders()
        session.hold_once()
