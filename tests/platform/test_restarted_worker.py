"""Calls to a worker that restarts under its id and at its address between two calls."""

import socket
import threading

from berthline.stand_in import StandInWorker
from berthline.worker_calls import BerthlineWorkerClient
from testtools import TestCase

from arbutuscleat.core import SystemClock
from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    HoldOrder,
    OrderOutcome,
    StartOrder,
    StopOrder,
)
from arbutuscleat.execution.session import WorkerSession
from arbutuscleat.jobs import RunOutcome, TaskKey, TaskStatus
from arbutuscleat.wire import Address
from tests.fakes.jobs import JOB, JobTableHarness, job, run, worker

KEY = TaskKey(JOB, 0, 0, 0)
OTHER = TaskKey(JOB, 0, 0, 1)
HOST = "127.0.0.77"
TIMEOUT = 5.0
FENCE = 7
FAR_MS = 3_600_000
"""A time on the clock of an incarnation that has lasted for an hour."""


def free_address():
    """Return an address that can be listened on again after a restart."""
    with socket.create_server((HOST, 0)) as listener:
        return Address(HOST, listener.getsockname()[1])


class RestartedWorkerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.address = free_address()
        self.begin_incarnation(5)
        self.client = self.make_client(5)
        self.addCleanup(lambda: self.server.stop())

    def begin_incarnation(self, born_ms):
        self.model = WorkerModel(SystemClock(), born_ms, lambda order: self.work())
        self.server = StandInWorker(
            "w1", "karachi", "m-1", None, [], self.model, address=self.address
        )
        self.server._announcer = threading.Thread()  # It announces nothing.
        self.server._announcer.start()
        self.server._server.start()

    def work(self):
        return None, RunOutcome.DONE

    def make_record(self, born_ms):
        return worker(born_ms=born_ms, host=HOST, port=self.address.port)

    def make_client(self, born_ms):
        client = BerthlineWorkerClient(self.make_record(born_ms))
        self.addCleanup(client.close)
        return client

    def restart(self):
        self.server.stop()
        self.begin_incarnation(6)

    def start(self, client, key=KEY, fence=FENCE, expires_ms=FAR_MS):
        return client.start(StartOrder(key, 1, "work", expires_ms, fence), TIMEOUT)

    def hold(self, client, acknowledged=0, expires_ms=None, fence=FENCE):
        return client.hold(HoldOrder(fence, acknowledged, expires_ms, 0), TIMEOUT)

    def test_calls_reach_the_incarnation_that_they_are_meant_for(self):
        self.assertIs(OrderOutcome.DONE, self.start(self.client).outcome)
        self.assertEqual([(KEY, 1)], self.model.started)
        answer = self.hold(self.client)
        self.assertEqual((5, [KEY]), (answer.born_ms, [r.key for r in answer.running]))

    def test_a_start_does_not_run_on_the_next_incarnation(self):
        """Guards against a lease far ahead on the clock of a restarted worker."""
        self.start(self.client)
        self.restart()
        self.start(self.client, OTHER)  # Its connection has been closed.
        answer = self.start(self.client, OTHER)
        self.assertIs(OrderOutcome.NOT_SENT, answer.outcome)
        self.assertEqual([], self.model.started)
        self.assertEqual(0, self.model._expires_ms)

    def test_a_hold_grants_the_next_incarnation_no_lease(self):
        """Guards against runs that outlast the lease that a session reckons with."""
        self.restart()
        answer = self.hold(self.client, expires_ms=FAR_MS)
        self.assertEqual((OrderOutcome.DONE, 6), (answer.outcome, answer.born_ms))
        self.assertEqual(0, self.model._expires_ms)

    def test_a_hold_acknowledges_no_end_of_the_next_incarnation(self):
        """Guards against an end that is forgotten before its session has read it."""
        self.restart()
        self.work = lambda: (0.0, RunOutcome.DONE)
        successor = self.make_client(6)
        self.start(successor, fence=1)
        self.hold(self.client, acknowledged=100)
        ended = [end.key for end in self.hold(successor).finished]
        self.assertEqual([KEY], ended)

    def test_a_stop_is_not_answered_by_the_next_incarnation(self):
        """Guards against a run that counts as stopped where it never was."""
        self.restart()
        answer = self.client.stop(StopOrder(KEY, 1, FENCE), TIMEOUT)
        self.assertIs(OrderOutcome.NOT_SENT, answer.outcome)

    def test_a_run_that_did_not_reach_its_incarnation_is_lost_at_once(self):
        """Guards against a run on a worker that is then cut off, beside the next one.

        The lease of the former incarnation was taken for that of the next one.
        """
        harness = JobTableHarness()
        harness.apply(worker=self.make_record(5))
        harness.accept(job())
        session = WorkerSession(
            self.make_record(5),
            self.client,
            FENCE,
            harness.table,
            harness.propose,
            lambda: True,
            SystemClock(),
            ExecutionLimits(),
            0.0,
        )
        session.hold_once()
        self.restart()
        harness.start(run())
        session.order_start(run())
        # Its only connection was that of the hold, so the order needs a new one.
        session._client._calls.close()
        session.send_queued_orders()
        self.assertEqual([], self.model.started)
        self.assertIs(TaskStatus.WAITING, harness.table.jobs[JOB].task(KEY).status)

    def test_a_check_of_a_connection_passes_on_why_a_call_is_rejected(self):
        self.hold(self.client, fence=FENCE + 1)
        former = self.make_client(5)
        self.assertIs(OrderOutcome.FENCED, self.start(former).outcome)
        self.assertIs(OrderOutcome.FENCED, self.hold(former).outcome)
        self.server.worker_id = "w2"
        other = self.make_client(5)
        self.assertIs(OrderOutcome.OTHER_WORKER, self.start(other).outcome)
        self.assertIs(OrderOutcome.OTHER_WORKER, self.hold(other).outcome)
        self.assertEqual([], self.model.started)
