"""What a session does with a worker that answers, is silent, late or somebody else."""

from dataclasses import replace

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    HoldAnswer,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    WorkerClient,
)
from arbutuscleat.execution.session import RECHECK_SECONDS, WorkerSession
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey, TaskStatus
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, TableBench, job, run, worker

LIMITS = ExecutionLimits()
KEY = TaskKey(JOB, 0, 0, 0)
DONE_AFTER = 2.0


class Link(WorkerClient):
    """The way to a worker, on which calls and answers get lost."""

    def __init__(self, model):
        self.model = model
        self.cut = False
        self.answers_lost = 0
        self.late = []
        self.calls = []

    def start(self, order, timeout):
        return self._call("start", order, timeout)

    def stop(self, order, timeout):
        return self._call("stop", order, timeout)

    def hold(self, order, timeout):
        return self._call("hold", order, timeout)

    def close(self):
        pass

    def _call(self, name, order, timeout):
        self.calls.append((name, order))
        none = HoldAnswer if name == "hold" else OrderAnswer
        if self.cut:
            return none(OrderOutcome.NO_ANSWER)
        if self.late is not None and name == "start" and self.late == ["next"]:
            self.late = [order]
            return none(OrderOutcome.NO_ANSWER)
        answer = getattr(self.model, name)(order, timeout)
        if self.answers_lost:
            self.answers_lost -= 1
            return none(OrderOutcome.NO_ANSWER)
        return answer


class SessionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.bench = TableBench()
        self.bench.apply(worker=worker())
        self.bench.accept(job())
        self.model = WorkerModel(
            self.clock, 5, lambda order: (DONE_AFTER, RunOutcome.DONE)
        )
        self.link = Link(self.model)
        self.leads = True
        self.session = self.make_session(7)
        self.session.hold_once()

    def make_session(self, fence, former_lease_until=0.0):
        return WorkerSession(
            worker(),
            self.link,
            fence,
            self.bench.table,
            self.bench.propose,
            lambda: self.leads,
            self.clock,
            LIMITS,
            former_lease_until,
        )

    def start(self, number=1):
        self.bench.start(run(number=number))
        self.session.order_start(run(number=number))
        self.session.send_queued_orders()

    def status(self):
        return self.bench.table.jobs[JOB].task(KEY).status

    def turn(self, count=1):
        for _ in range(count):
            self.session.hold_once()
            self.session.send_queued_orders()

    def test_an_end_is_logged_before_it_is_acknowledged(self):
        self.start()
        self.clock.advance(DONE_AFTER)
        self.turn()
        self.assertIs(JobPhase.COMPLETED, self.bench.phase())
        self.turn()
        acknowledged = [o.acknowledged for name, o in self.link.calls if name == "hold"]
        self.assertEqual([0, 0, 1], acknowledged)

    def test_an_end_that_is_not_logged_is_not_acknowledged(self):
        self.start()
        self.clock.advance(DONE_AFTER)
        self.session._ends._propose = lambda command: False
        self.turn(2)
        acknowledged = {o.acknowledged for name, o in self.link.calls if name == "hold"}
        self.assertEqual({0}, acknowledged)

    def test_a_start_without_an_answer_is_sent_again_under_its_number(self):
        self.link.answers_lost = 1
        self.start()
        self.assertEqual([(KEY, 1)], self.model.started)
        self.turn()
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_a_start_that_stays_without_an_answer_is_stopped_for_good(self):
        self.link.answers_lost = 2
        self.start()
        self.turn(2)
        self.assertEqual({}, self.model.running())
        self.assertIs(TaskStatus.WAITING, self.status())

    def test_an_order_carried_out_late_runs_beside_no_other(self):
        self.link.late = ["next"]
        self.bench.start(run())
        self.session.order_start(run())
        self.link.cut = False
        self.session.send_queued_orders()
        late = self.link.late[0]
        self.turn(2)
        while self.status() is TaskStatus.RUNNING and self.model.running():
            self.clock.advance(0.5)
            self.turn()
        self.model.start(late, 1.0)
        self.assertTrue(len(self.model.started) <= 1)

    def test_a_run_that_a_former_leader_never_sent_is_stopped_then_waits(self):
        self.bench.start(run())
        self.turn(2)
        self.assertEqual(
            ["hold", "hold", "stop", "hold"], [name for name, _ in self.link.calls]
        )
        self.assertIs(TaskStatus.WAITING, self.status())
        self.assertEqual([], self.model.started)

    def test_runs_that_are_missing_are_looked_for_again_at_once(self):
        """A new leader finds runs that the former one had logged and not sent."""
        self.bench.start(run())
        self.turn(2)
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(int(1000 * RECHECK_SECONDS), waits[-1])
        self.turn()
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(int(1000 * LIMITS.hold_wait), waits[-1])

    def test_a_run_of_a_former_leader_that_runs_goes_on(self):
        self.start()
        self.session = self.make_session(8)
        self.turn(3)
        self.assertEqual({KEY: 1}, self.model.running())
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_a_former_leader_is_fenced(self):
        former = self.session
        self.session = self.make_session(8)
        self.turn()
        self.bench.start(run())
        former.order_start(run())
        former.send_queued_orders()
        self.assertEqual([], self.model.started)

    def test_nothing_is_sent_without_the_leadership(self):
        self.leads = False
        self.start()
        self.assertEqual([], self.model.started)
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_the_task_of_a_silent_worker_waits_until_its_lease_has_ended(self):
        self.start()
        self.link.cut = True
        began = self.clock.monotonic()
        while self.status() is TaskStatus.RUNNING:
            self.assertTrue(self.clock.monotonic() - began < 20)
            self.turn()
        self.clock.advance(0.0)
        self.assertEqual({}, self.model.running())
        waited = self.clock.monotonic() - began
        self.assertTrue(waited > LIMITS.lease / (1 - LIMITS.clock_drift), waited)

    def test_a_silent_worker_is_not_held_again_and_again(self):
        """Requests that arrive while their answers are lost must not renew."""
        self.start()
        self.link.answers_lost = 1_000
        self.turn(10)
        renewals = [o.expires_ms for name, o in self.link.calls if name == "hold"][1:]
        self.assertEqual(8, renewals.count(None))

    def test_a_new_leader_waits_for_the_leases_of_the_former_one(self):
        self.start()
        self.link.cut = True
        until = self.clock.monotonic() + LIMITS.expiry_upper_bound(LIMITS.max_lease)
        self.session = self.make_session(8, until)
        while self.status() is TaskStatus.RUNNING:
            self.turn()
        self.assertTrue(self.clock.monotonic() >= until)

    def test_the_runs_of_a_former_life_wait_again_at_once(self):
        self.start()
        self.link.model = WorkerModel(self.clock, 6, self.model._work)
        self.turn()
        self.assertIs(TaskStatus.WAITING, self.status())

    def test_a_run_of_a_cancelled_job_is_stopped(self):
        self.start()
        self.bench.cancel()
        self.turn(2)
        self.assertEqual({}, self.model.running())
        self.assertEqual({}, self.bench.table.runs)

    def test_a_start_of_a_job_cancelled_meanwhile_is_not_sent(self):
        self.bench.start(run())
        self.session.order_start(run())
        self.bench.cancel()
        self.session.send_queued_orders()
        self.assertEqual([], self.model.started)
        self.assertEqual({}, self.bench.table.runs)

    def test_a_worker_without_room_gets_nothing_for_a_moment(self):
        self.model._room = 0
        self.start()
        self.assertIs(TaskStatus.WAITING, self.status())
        self.assertFalse(self.session.is_usable())
        self.clock.advance(0.5)
        self.assertTrue(self.session.is_usable())

    def test_an_unanswered_start_does_not_delay_the_other_tasks_of_its_worker(self):
        """A worker that went dark: its tasks start elsewhere after its lease."""
        self.bench.accept(job(OTHER_JOB))
        self.start()
        self.link.cut = True
        began = self.clock.monotonic()
        self.turn()
        self.bench.start(run(job_id=OTHER_JOB))
        self.session.order_start(run(job_id=OTHER_JOB))
        self.session.send_queued_orders()
        while self.bench.table.runs:
            self.assertTrue(self.clock.monotonic() - began < 20)
            self.turn()
        waited = self.clock.monotonic() - began
        self.assertTrue(waited < LIMITS.expiry_upper_bound(LIMITS.lease) + 2.0, waited)

    def test_orders_behind_an_unanswered_one_do_not_wait_for_its_repetition(self):
        """A load of which one order in twenty is answered seconds late or never."""
        self.bench.accept(job(OTHER_JOB))
        self.link.answers_lost = 1
        self.bench.start(run())
        self.bench.start(run(job_id=OTHER_JOB))
        self.session.order_start(run())
        self.session.order_start(run(job_id=OTHER_JOB))
        self.session.send_queued_orders()
        starts = [o.key.job_id for name, o in self.link.calls if name == "start"]
        self.assertEqual([JOB, OTHER_JOB, JOB], starts)
        self.assertTrue(self.session.is_usable())

    def test_an_old_order_of_a_task_leaves_its_next_run_alone(self):
        """A stop of run 1 ends after run 2 has been ordered on the same worker."""
        sender = self.session._sender
        sender.order_stop(KEY, 1)
        sender.order_start(run(number=2))
        sender._send_first(sender._orders.get())
        self.assertEqual({KEY}, sender.pending())

    def test_a_worker_that_leaves_two_orders_unanswered_gets_nothing_new(self):
        self.bench.accept(job(OTHER_JOB))
        self.link.cut = True
        self.session.hold_once()
        self.session.hold_once()
        self.link.cut = False
        self.session.hold_once()
        status = self.session._status
        self.assertTrue(self.session.is_usable())
        status.record_unanswered_order()
        self.assertTrue(self.session.is_usable())
        status.record_unanswered_order()
        self.assertFalse(self.session.is_usable())
        self.turn()
        self.assertTrue(self.session.is_usable())

    def test_a_busy_worker_is_asked_for_ends_more_often(self):
        """An end stays unseen while a hold without an answer lasts."""
        self.start()
        self.turn()
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(int(1000 * LIMITS.busy_wait), waits[-1])

    def test_a_task_that_stands_still_starts_elsewhere(self):
        """The worker answers all calls while its tasks hang."""
        self.start()
        frozen = RunningTask(KEY, 1, 40, 0)
        hold = self.model.hold
        self.model.hold = lambda order, timeout: replace(
            hold(order, timeout), running=(frozen,) if self.model.running() else ()
        )
        self.model._work = None
        for item in self.model._runs.values():
            item.seconds = None
        began = self.clock.monotonic()
        while self.status() is TaskStatus.RUNNING:
            self.assertTrue(self.clock.monotonic() - began < 4.0)
            self.turn()
            self.clock.advance(0.5)
        self.assertEqual({}, self.model.running())
        self.assertFalse(self.session.is_usable())

    def test_one_lost_hold_is_repeated_at_once(self):
        self.start()
        self.link.answers_lost = 1
        before = self.clock.monotonic()
        self.session.hold_once()
        self.session.hold_once()
        self.assertEqual(before, self.clock.monotonic())
        self.assertTrue(self.session.is_usable())
