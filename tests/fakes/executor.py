"""An executor without threads, on a job table without consensus."""

from arbutuscleat.execution import (
    ExecutionLimits,
    Executor,
    LeaderLoad,
    SessionHolding,
    SessionLease,
    SessionManager,
    SessionRegistry,
)
from arbutuscleat.jobs import SessionHolder
from arbutuscleat.scheduling import Planner
from tests.fakes.replica import HarnessReplica

HOLDER = SessionHolder("control-1", "a1")


def executor_parts(replica, table, clock, make_client, propose):
    """Return the arguments of an executor whose sessions run no threads."""
    lease = SessionLease(clock)
    manager = SessionManager(
        table,
        make_client,
        SessionHolding(replica, table, clock, HOLDER, lease),
        propose,
        clock,
        ExecutionLimits(),
        LeaderLoad(clock),
        start_threads=False,
    )
    return replica, table, Planner(), clock, manager, SessionRegistry(clock)


def make_executor(harness, clock, make_client):
    """Return an executor whose steps, and those of its sessions, the test runs."""
    replica = HarnessReplica(harness)
    parts = executor_parts(
        replica,
        harness.table,
        clock,
        make_client,
        lambda command: executor.propose(command),
    )
    executor = Executor(*parts)
    return executor


def run_once(executor):
    """Run one iteration of an executor and of its sessions."""
    executor.run_once()
    for session in executor.sessions.values():
        session.send_queued_orders()
        session.hold_once()
