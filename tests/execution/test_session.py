"""Tests of sessions with responsive, unresponsive, slow and replaced workers."""

from collections import Counter
from dataclasses import replace
from unittest import mock

from testtools import TestCase

from arbutuscleat.emulator.worker_model import MAX_ENDS_PER_ANSWER, WorkerModel
from arbutuscleat.execution import (
    NO_POSITION,
    ExecutionLimits,
    FinishedRun,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    RunningTask,
    WorkerClient,
)
from arbutuscleat.execution.session import RECHECK_SECONDS, RETRY_SECONDS, WorkerSession
from arbutuscleat.execution.worker_status import (
    IDLE_HOLD_SECONDS,
    MAX_UNANSWERED_ORDERS,
)
from arbutuscleat.jobs import JobPhase, RunOutcome, TaskKey, TaskStatus
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, OTHER_JOB, JobTableHarness, job, run, step, worker
from tests.fakes.simulated_clock import (
    SimulatedClock,
    SimulatedCondition,
    SimulatedQueue,
)

LIMITS = ExecutionLimits()
KEY = TaskKey(JOB, 0, 0, 0)
DONE_AFTER = 2.0


class FaultyLink(WorkerClient):
    """A link to a worker on which calls and responses can be lost."""

    def __init__(self, model):
        self.model = model
        self.is_cut = False
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
        if self.is_cut:
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
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.harness.accept(job())
        self.model = WorkerModel(
            self.clock, 5, lambda order: (DONE_AFTER, RunOutcome.DONE)
        )
        self.link = FaultyLink(self.model)
        self.leads = True
        self.session = self.make_session(7)
        self.session.hold_once()

    def make_session(self, fence, former_lease_until=0.0, record=None):
        return WorkerSession(
            record or worker(),
            self.link,
            fence,
            self.harness.table,
            self.harness.propose,
            lambda: self.leads,
            self.clock,
            LIMITS,
            former_lease_until,
        )

    def start(self, number=1):
        self.harness.start(run(number=number))
        self.session.order_start(run(number=number))
        self.session.send_queued_orders()

    def test_the_stop_of_an_older_run_leaves_the_next_start_pending(self):
        """Guards against a stop of a run whose start is about to be sent."""
        self.session.order_start(run(number=2))
        self.session.order_stop(KEY, 1)
        self.session.send_queued_orders()
        self.harness.start(run(number=2))
        self.assertEqual({}, self.session._expected_runs()[0])

    def status(self):
        return self.harness.table.jobs[JOB].task(KEY).status

    def step_once(self, count=1):
        for _ in range(count):
            self.session.hold_once()
            self.session.send_queued_orders()

    def hold_with(self, **fields):
        """Send one hold whose answer has some fields replaced."""
        answer = replace(self.model.hold(HoldOrder(7, 0, None, 0), 1.0), **fields)
        with mock.patch.object(self.link, "hold", lambda order, timeout: answer):
            self.session.hold_once()
        self.session.send_queued_orders()

    def test_a_listed_run_of_a_task_that_its_job_does_not_have(self):
        """Guards against the end of the hold thread by an `IndexError`."""
        self.start()
        sound = self.model.hold(HoldOrder(7, 0, None, 0), 1.0).running
        odd = [
            RunningTask(KEY._replace(**{name: 99}), 1, 0, 0)
            for name in ("occurrence", "step", "task_index")
        ]
        self.hold_with(running=(*odd, *sound))
        self.assertEqual(TaskStatus.RUNNING, self.status())
        self.assertEqual(3, sum(name == "stop" for name, _ in self.link.calls))

    def test_a_second_row_of_a_task_does_not_hide_its_run(self):
        """Guards against the stop of a sound run because of an odd row."""
        self.start()
        sound = self.model.hold(HoldOrder(7, 0, None, 0), 1.0).running
        self.hold_with(running=(*sound, RunningTask(KEY, 2**31 - 1, 0, 0)))
        stops = [order.number for name, order in self.link.calls if name == "stop"]
        self.assertEqual([2**31 - 1], stops)

    def test_an_end_at_a_position_far_ahead_is_not_acknowledged(self):
        """Guards against a worker whose later ends all count as known."""
        self.harness.accept(job(OTHER_JOB))
        self.start()
        self.clock.advance(DONE_AFTER + 0.1)
        self.session.hold_once()
        self.harness.start(run(OTHER_JOB))
        self.session.order_start(run(OTHER_JOB))
        self.session.send_queued_orders()
        other = TaskKey(OTHER_JOB, 0, 0, 0)
        far = FinishedRun(2**31 - 1, other, 1, RunOutcome.DONE, "")
        before = self.clock.monotonic()
        self.hold_with(finished=(far,))
        self.assertAlmostEqual(RETRY_SECONDS, self.clock.monotonic() - before)
        self.assertEqual(JobPhase.ACTIVE, self.harness.phase(OTHER_JOB))
        self.clock.advance(DONE_AFTER + 0.1)
        sound = self.model.hold(HoldOrder(7, 1, None, 0), 1.0).finished
        self.hold_with(finished=(*sound, far))
        self.assertEqual(JobPhase.COMPLETED, self.harness.phase(OTHER_JOB))
        self.session.hold_once()
        self.assertEqual(2, self.link.calls[-1][1].acknowledged)

    def test_a_run_whose_end_is_far_ahead_is_not_taken_for_ended(self):
        """Guards against a run that no worker lists and that nobody ends."""
        self.step_once()
        self.start()
        far = FinishedRun(2**31 - 1, KEY, 1, RunOutcome.DONE, "")
        near = FinishedRun(1, KEY, 7, RunOutcome.DONE, "")
        self.hold_with(running=(), finished=(near, far))
        self.assertEqual(TaskStatus.RUNNING, self.status())
        self.hold_with(running=(), finished=(near, far))
        self.assertEqual(TaskStatus.DONE, self.status())

    def test_a_run_whose_stop_is_answered_has_the_end_that_its_worker_lists(self):
        """Guards against an attempt that is not counted, and work that is repeated."""
        other = FinishedRun(1, TaskKey("b" * 16, 0, 0, 0), 1, RunOutcome.DONE, "")
        for number, position in ((1, NO_POSITION), (2, 2**31 - 1)):
            self.start(number)
            odd = FinishedRun(position, KEY, number, RunOutcome.FAILED, f"s{number}")
            for expected in (TaskStatus.RUNNING, TaskStatus.WAITING):
                self.hold_with(running=(), finished=(other, odd))
                self.assertEqual(expected, self.status())
            task = self.harness.table.jobs[JOB].task(KEY)
            self.assertEqual((number, f"s{number}"), (task.failures, task.checkpoint))
            self.assertEqual(1, self.session._acknowledged)

    def test_an_end_that_cannot_be_read_does_not_cause_holds_without_a_pause(self):
        self.start()
        unplaced = FinishedRun(NO_POSITION, KEY, 1, RunOutcome.DONE, "")
        for fields in ({"skipped_ends": 1}, {"finished": (unplaced,)}):
            before = self.clock.monotonic()
            self.hold_with(**fields)
            self.assertAlmostEqual(RETRY_SECONDS, self.clock.monotonic() - before)

    def test_an_end_is_logged_before_it_is_acknowledged(self):
        self.start()
        self.clock.advance(DONE_AFTER)
        self.step_once()
        self.assertIs(JobPhase.COMPLETED, self.harness.phase())
        self.step_once()
        acknowledged = [o.acknowledged for name, o in self.link.calls if name == "hold"]
        self.assertEqual([0, 0, 1], acknowledged)

    def test_an_end_that_is_not_logged_is_not_acknowledged(self):
        self.start()
        self.clock.advance(DONE_AFTER)
        self.session._end_recorder._propose = lambda command: False
        self.step_once(2)
        acknowledged = {o.acknowledged for name, o in self.link.calls if name == "hold"}
        self.assertEqual({0}, acknowledged)

    def test_an_unanswered_start_is_retried_with_the_same_run_number(self):
        self.link.answers_lost = 1
        self.start()
        self.assertEqual([(KEY, 1)], self.model.started)
        self.step_once()
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_a_start_that_remains_unanswered_is_stopped(self):
        self.link.answers_lost = 2
        self.start()
        self.step_once(2)
        self.assertEqual({}, self.model.running())
        self.assertIs(TaskStatus.WAITING, self.status())

    def test_a_start_that_arrives_late_does_not_run_twice(self):
        self.link.late = ["next"]
        self.harness.start(run())
        self.session.order_start(run())
        self.link.is_cut = False
        self.session.send_queued_orders()
        late = self.link.late[0]
        self.step_once(2)
        while self.status() is TaskStatus.RUNNING and self.model.running():
            self.clock.advance(0.5)
            self.step_once()
        self.model.start(late, 1.0)
        self.assertTrue(len(self.model.started) <= 1)

    def test_a_run_never_sent_by_a_former_leader_is_stopped_then_rescheduled(self):
        self.harness.start(run())
        self.step_once(2)
        self.assertEqual(
            ["hold", "hold", "stop", "hold"], [name for name, _ in self.link.calls]
        )
        self.assertIs(TaskStatus.WAITING, self.status())
        self.assertEqual([], self.model.started)

    def test_missing_runs_are_checked_again_immediately(self):
        """A new leader finds runs that the former one had committed but not sent."""
        self.harness.start(run())
        self.step_once(2)
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(int(1000 * RECHECK_SECONDS), waits[-1])
        self.step_once()
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(0, waits[-1])  # A worker without runs.

    def test_a_run_started_by_a_former_leader_continues(self):
        self.start()
        self.session = self.make_session(8)
        self.step_once(3)
        self.assertEqual({KEY: 1}, self.model.running())
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_a_former_leader_is_fenced(self):
        former = self.session
        self.session = self.make_session(8)
        self.step_once()
        self.harness.start(run())
        former.order_start(run())
        former.send_queued_orders()
        self.assertEqual([], self.model.started)

    def test_a_follower_sends_no_orders(self):
        self.leads = False
        self.start()
        self.assertEqual([], self.model.started)
        self.assertIs(TaskStatus.RUNNING, self.status())

    def test_tasks_of_an_unresponsive_worker_are_rescheduled_after_its_lease(self):
        self.start()
        self.link.is_cut = True
        started_at = self.clock.monotonic()
        while self.status() is TaskStatus.RUNNING:
            self.assertTrue(self.clock.monotonic() - started_at < 20)
            self.step_once()
        self.clock.advance(0.0)
        self.assertEqual({}, self.model.running())
        waited = self.clock.monotonic() - started_at
        self.assertTrue(waited > LIMITS.lease / (1 - LIMITS.clock_drift), waited)

    def test_the_lease_of_an_unresponsive_worker_is_not_renewed(self):
        """Holds that arrive while their responses are lost must not renew the lease."""
        self.start()
        self.link.answers_lost = 1_000
        self.step_once(10)
        renewals = [o.expires_ms for name, o in self.link.calls if name == "hold"][1:]
        self.assertEqual(9, renewals.count(None))

    def test_a_new_leader_waits_for_the_leases_of_the_former_one(self):
        self.start()
        self.link.is_cut = True
        until = self.clock.monotonic() + LIMITS.expiry_upper_bound(LIMITS.max_lease)
        self.session = self.make_session(8, until)
        while self.status() is TaskStatus.RUNNING:
            self.step_once()
        self.assertTrue(self.clock.monotonic() >= until)

    def test_runs_of_a_former_incarnation_are_rescheduled_by_the_next_session(self):
        """Guards against a wait for a lease, and a start before that session."""
        self.start()
        before = self.clock.monotonic()
        self.link.model = WorkerModel(self.clock, 6, self.model._work)
        self.step_once()
        self.assertIs(TaskStatus.RUNNING, self.status())
        self.session = self.make_session(8, record=self.harness.table.workers["w1"])
        self.session.hold_once()
        self.assertIs(TaskStatus.WAITING, self.status())
        self.assertEqual(before, self.clock.monotonic())

    def test_the_lease_of_a_worker_with_a_slow_clock_is_not_longer(self):
        """Guards against a start that follows long after the last reading."""
        now_ms = self.model._now_ms
        self.model._now_ms = lambda: int(now_ms() * (1.0 - LIMITS.clock_drift))
        self.session.hold_once()
        self.clock.advance(60.0)
        self.start()
        left_ms = self.model._expires_ms - self.model._now_ms()
        self.assertTrue(0 < left_ms <= 1000 * LIMITS.lease + 1, left_ms)  # Rounding.

    def test_a_pause_of_the_process_does_not_prolong_a_lease(self):
        """Guards against a lease granted by a process that leads no longer."""
        limit_ms = self.model._now_ms() + 1000 * LIMITS.lease
        self.session._may_order = self.session._sender._may_order = self.pause
        self.harness.start(run())
        self.session.order_start(run())
        self.session.send_queued_orders()
        self.assertEqual([(KEY, 1)], self.model.started)
        self.assertTrue(self.model._expires_ms <= limit_ms)
        limit_ms = self.model._now_ms() + 1000 * LIMITS.lease
        self.session.hold_once()
        self.assertTrue(self.model._expires_ms <= limit_ms)

    def pause(self):
        self.clock.advance(2.0)
        return True

    def test_a_run_of_a_cancelled_job_is_stopped(self):
        self.start()
        self.harness.cancel()
        self.step_once(2)
        self.assertEqual({}, self.model.running())
        self.assertEqual({}, self.harness.table.runs)

    def test_the_start_of_a_cancelled_job_is_not_sent(self):
        self.harness.start(run())
        self.session.order_start(run())
        self.harness.cancel()
        self.session.send_queued_orders()
        self.assertEqual([], self.model.started)
        self.assertEqual({}, self.harness.table.runs)

    def test_a_worker_without_room_is_paused_for_a_short_time(self):
        self.model._room = 0
        self.start()
        self.assertIs(TaskStatus.WAITING, self.status())
        self.assertFalse(self.session.is_usable())
        self.clock.advance(0.5)
        self.assertTrue(self.session.is_usable())

    def test_a_short_pause_does_not_end_a_longer_one(self):
        """Guards against new runs on a worker on which a task has just stalled."""
        self.session._status.pause(3.0)
        self.session._status.pause(0.3)
        self.clock.advance(2.9)
        self.assertFalse(self.session.is_usable())
        self.clock.advance(0.2)
        self.assertTrue(self.session.is_usable())

    def test_an_unanswered_start_does_not_delay_the_other_tasks_of_its_worker(self):
        """All tasks of an unreachable worker are rescheduled when its lease expires."""
        self.harness.accept(job(OTHER_JOB))
        self.start()
        self.link.is_cut = True
        started_at = self.clock.monotonic()
        self.step_once()
        self.harness.start(run(job_id=OTHER_JOB))
        self.session.order_start(run(job_id=OTHER_JOB))
        self.session.send_queued_orders()
        while self.harness.table.runs:
            self.assertTrue(self.clock.monotonic() - started_at < 20)
            self.step_once()
        waited = self.clock.monotonic() - started_at
        self.assertTrue(waited < LIMITS.expiry_upper_bound(LIMITS.lease) + 2.0, waited)

    def test_orders_queued_behind_an_unanswered_one_do_not_wait_for_its_retry(self):
        """Guards against delays if one order in 20 is answered seconds late or not."""
        self.harness.accept(job(OTHER_JOB))
        self.link.answers_lost = 1
        self.harness.start(run())
        self.harness.start(run(job_id=OTHER_JOB))
        self.session.order_start(run())
        self.session.order_start(run(job_id=OTHER_JOB))
        self.session.send_queued_orders()
        starts = [o.key.job_id for name, o in self.link.calls if name == "start"]
        self.assertEqual([JOB, OTHER_JOB, JOB], starts)
        self.assertTrue(self.session.is_usable())

    def test_an_old_order_of_a_task_does_not_affect_its_next_run(self):
        """A stop of run 1 completes after run 2 was ordered on the same worker."""
        sender = self.session._sender
        sender.order_stop(KEY, 1)
        sender.order_start(run(number=2))
        sender._send_first(sender._orders.get())
        self.assertEqual({KEY}, sender.pending())

    def test_a_worker_with_two_unanswered_orders_is_not_usable(self):
        self.harness.accept(job(OTHER_JOB))
        self.link.is_cut = True
        self.session.hold_once()
        self.session.hold_once()
        self.link.is_cut = False
        self.session.hold_once()
        status = self.session._status
        self.assertTrue(self.session.is_usable())
        status.record_unanswered_order()
        self.assertTrue(self.session.is_usable())
        status.record_unanswered_order()
        self.assertFalse(self.session.is_usable())
        self.step_once()
        self.assertTrue(self.session.is_usable())

    def test_a_worker_with_finite_tasks_is_polled_more_often(self):
        """The end of a run stays unnoticed while an unanswered hold is pending."""
        self.start()
        self.step_once()
        waits = [o.wait_ms for name, o in self.link.calls if name == "hold"]
        self.assertEqual(int(1000 * LIMITS.busy_wait), waits[-1])

    def test_a_stalled_task_is_rescheduled(self):
        """The worker answers every call, but its task hangs."""
        self.start()
        frozen = RunningTask(KEY, 1, 40, 0)
        hold = self.model.hold
        self.model.hold = lambda order, timeout: replace(
            hold(order, timeout), running=(frozen,) if self.model.running() else ()
        )
        self.model._work = None
        for item in self.model._runs.values():
            item.seconds = None
        started_at = self.clock.monotonic()
        while self.status() is TaskStatus.RUNNING:
            self.assertTrue(self.clock.monotonic() - started_at < 4.0)
            self.step_once()
            self.clock.advance(0.5)
        self.assertEqual({}, self.model.running())
        self.assertFalse(self.session.is_usable())

    def test_a_single_lost_hold_is_retried_immediately(self):
        self.start()
        self.link.answers_lost = 1
        before = self.clock.monotonic()
        self.session.hold_once()
        self.session.hold_once()
        self.assertEqual(before, self.clock.monotonic())
        self.assertTrue(self.session.is_usable())


class FullListTest(TestCase):
    """A worker lists 500 ends in one answer, so a full list leaves others out."""

    COUNT = 2 * MAX_ENDS_PER_ANSWER + 200

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker(cpu=1_000 * self.COUNT))
        self.harness.accept(job(steps=[step(self.COUNT, cpu=20, mem_mb=1)]))
        self.model = WorkerModel(
            self.clock, 5, lambda order: (DONE_AFTER, RunOutcome.DONE), 2 * self.COUNT
        )
        self.link = FaultyLink(self.model)
        self.session = self.make_session(7)
        self.session.hold_once()

    def make_session(self, fence):
        return WorkerSession(
            worker(),
            self.link,
            fence,
            self.harness.table,
            self.harness.propose,
            lambda: True,
            self.clock,
            LIMITS,
            0.0,
        )

    def start_all(self):
        runs = [run(index=index) for index in range(self.COUNT)]
        self.harness.start(*runs)
        for item in runs:
            self.session.order_start(item)
        self.session.send_queued_orders()

    def statuses(self):
        job_state = self.harness.table.jobs[JOB]
        return Counter(task.status for task in job_state.all_tasks())

    def stops(self):
        return [order for name, order in self.link.calls if name == "stop"]

    def test_ends_beyond_a_full_list_are_not_lost_after_a_change_of_leader(self):
        """Guards against a second run of tasks whose end is listed later (review/6)."""
        self.start_all()
        self.clock.advance(DONE_AFTER)
        self.session = self.make_session(8)
        for rest in (self.COUNT - 500, self.COUNT - 1_000):
            self.session.hold_once()
            expected = {TaskStatus.DONE: self.COUNT - rest, TaskStatus.RUNNING: rest}
            self.assertEqual(expected, self.statuses())
        self.session.hold_once()
        self.assertEqual({TaskStatus.DONE: self.COUNT}, self.statuses())
        self.session.send_queued_orders()
        self.assertEqual([], self.stops())

    def test_an_end_beyond_a_full_list_is_not_lost_after_its_stop(self):
        """Guards against a run that counts as stopped although it ended as done."""
        self.start_all()
        self.session.order_stop(TaskKey(JOB, 0, 0, self.COUNT - 1), 1)
        self.clock.advance(DONE_AFTER)
        self.session.send_queued_orders()
        for _ in range(3):
            self.session.hold_once()
        self.assertEqual({TaskStatus.DONE: self.COUNT}, self.statuses())

    def test_a_run_that_never_started_is_lost_with_the_first_list_that_is_not_full(
        self,
    ):
        """Guards against a run in doubt that no later answer resolves."""
        self.start_all()
        self.clock.advance(DONE_AFTER)
        self.harness.accept(job(OTHER_JOB))
        self.harness.start(run(OTHER_JOB))
        self.session = self.make_session(8)
        for status in (TaskStatus.RUNNING, TaskStatus.RUNNING, TaskStatus.WAITING):
            self.session.hold_once()
            other = self.harness.table.jobs[OTHER_JOB]
            self.assertIs(status, other.task(TaskKey(OTHER_JOB, 0, 0, 0)).status)
        self.session.send_queued_orders()
        self.assertEqual([], self.stops())


class HoldThreadTest(TestCase):
    """The loop of the hold thread, on a simulated clock."""

    def setUp(self):
        super().setUp()
        self.clock = SimulatedClock()
        self.addCleanup(self.clock.stop)
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.harness.accept(job())
        self.model = WorkerModel(self.clock, 5, lambda order: (None, RunOutcome.DONE))
        self.link = FaultyLink(self.model)
        self.session = WorkerSession(
            worker(),
            self.link,
            7,
            self.harness.table,
            self.harness.propose,
            lambda: True,
            self.clock,
            LIMITS,
            0.0,
        )
        self.session._wake = SimulatedCondition(self.clock)
        self.clock.spawn(self.session._run)
        self.clock.run(1.0)

    def test_a_worker_is_usable_again_although_its_runs_were_lost_in_between(self):
        """Guards against a session that no longer holds a worker without runs."""
        self.harness.start(run())
        self.link.is_cut = True
        self.clock.run(2 * LIMITS.max_lease)
        self.assertEqual({}, self.harness.table.runs)
        self.assertFalse(self.session.is_usable())
        self.link.is_cut = False
        self.clock.run(2.0)
        self.assertTrue(self.session.is_usable())

    def test_a_worker_is_usable_again_after_unanswered_orders(self):
        """Guards against counting unanswered orders of runs that are over."""
        for _ in range(MAX_UNANSWERED_ORDERS):
            self.session._status.record_unanswered_order()
        self.assertFalse(self.session.is_usable())
        self.clock.run(2.0)
        self.assertTrue(self.session.is_usable())

    def test_a_responsive_worker_without_runs_is_held_every_few_seconds(self):
        """Guards against idle workers that are not known to be unresponsive."""
        self.link.calls.clear()
        self.clock.run(10.5 * IDLE_HOLD_SECONDS)
        self.assertEqual({"hold"}, {name for name, _ in self.link.calls})
        self.assertTrue(8 <= len(self.link.calls) <= 10, len(self.link.calls))
        self.assertEqual({0}, {order.wait_ms for _, order in self.link.calls})


class DarkWorkerTest(TestCase):
    """All threads of a session whose worker stops answering, on a simulated clock."""

    def setUp(self):
        super().setUp()
        self.clock = SimulatedClock()
        self.addCleanup(self.clock.stop)
        self.harness = JobTableHarness()
        self.harness.apply(worker=worker())
        self.harness.accept(job(steps=[step(1, long_running=True)]))
        self.harness.accept(job(OTHER_JOB, steps=[step(16)]))
        self.model = WorkerModel(self.clock, 5, lambda order: (None, RunOutcome.DONE))
        self.link = DarkLink(self.clock, self.model)
        self.session = WorkerSession(
            worker(),
            self.link,
            7,
            self.harness.table,
            self.harness.propose,
            lambda: True,
            self.clock,
            LIMITS,
            0.0,
        )
        sender = self.session._sender
        self.session._wake = SimulatedCondition(self.clock)
        sender._orders = SimulatedQueue(self.clock)
        sender._retries = SimulatedQueue(self.clock)
        for target in (self.session._run, sender._run_orders, sender._run_retries):
            self.clock.spawn(target)
        self.clock.run(0.1)
        self.start(run())
        self.clock.run(5.0)

    def start(self, record):
        self.harness.start(record)
        self.session.order_start(record)

    def go_dark(self):
        self.link.is_cut = True
        self.dark_since = self.clock.monotonic()

    def seconds_until_rescheduled(self):
        task = self.harness.table.jobs[JOB].task(KEY)
        while task.status is TaskStatus.RUNNING:
            self.clock.run(0.05)
            self.assertTrue(self.clock.monotonic() - self.dark_since < 60.0)
        self.assertEqual({}, self.model.running())
        return self.clock.monotonic() - self.dark_since

    def test_queued_starts_do_not_prolong_the_lease_of_a_dark_worker(self):
        """Guards against retries that count as leases granted, one after another."""
        self.go_dark()
        for index in range(16):
            self.start(run(job_id=OTHER_JOB, index=index))
        waited = self.seconds_until_rescheduled()
        self.assertTrue(waited < LIMITS.expiry_upper_bound(LIMITS.lease) + 1.0, waited)

    def test_starts_queued_behind_unanswered_ones_are_not_sent(self):
        self.go_dark()
        for index in range(16):
            self.start(run(job_id=OTHER_JOB, index=index))
        self.clock.run(2.0)
        tasks = self.harness.table.jobs[OTHER_JOB].all_tasks()
        waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
        self.assertEqual(16 - MAX_UNANSWERED_ORDERS, len(waiting))

    def test_tasks_of_a_dark_worker_are_rescheduled_once_its_lease_has_expired(self):
        """Guards against renewals by holds that are retries of an unanswered one."""
        for delay in [0.05 * number for number in range(32)]:
            self.clock.run(delay)
            self.go_dark()
            waited = self.seconds_until_rescheduled()
            bound = LIMITS.expiry_upper_bound(LIMITS.lease)
            self.assertTrue(waited < bound + 0.1, (delay, waited))
            self.link.is_cut = False
            self.clock.run(2.0)
            task = self.harness.table.jobs[JOB].task(KEY)
            self.start(run(number=task.number + 1))
            self.clock.run(3.0)

    def test_a_start_on_a_dark_worker_does_not_prolong_its_lease(self):
        self.go_dark()
        self.clock.run(1.5)
        self.start(run(job_id=OTHER_JOB))
        waited = self.seconds_until_rescheduled()
        bound = LIMITS.expiry_upper_bound(LIMITS.lease)
        self.assertTrue(waited < bound + 0.5, waited)


class DarkLink(FaultyLink):
    """A link on which an unanswered call takes as long as its timeout."""

    def __init__(self, clock, model):
        super().__init__(model)
        self.clock = clock

    def hold(self, order, timeout):
        until = self.clock.monotonic() + order.wait_ms / 1000.0
        answer = super().hold(order, timeout)
        if answer.outcome is OrderOutcome.DONE and not answer.finished:
            self.clock.pause(until - self.clock.monotonic())
        if self.is_cut and answer.outcome is OrderOutcome.DONE:
            self.clock.pause(timeout - order.wait_ms / 1000.0)
            return HoldAnswer(OrderOutcome.NO_ANSWER)
        return answer

    def _call(self, name, order, timeout):
        if self.is_cut:
            self.clock.pause(timeout)
        return super()._call(name, order, timeout)
