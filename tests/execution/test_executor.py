from unittest import mock

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import ExecutionLimits, HoldAnswer, OrderOutcome
from arbutuscleat.execution.executor import STOP_EFFECT_SECONDS
from arbutuscleat.execution.failure_breaker import MAX_FAILED_JOBS, OPEN_SECONDS
from arbutuscleat.jobs import RunOutcome
from arbutuscleat.scheduling import WaitReason
from arbutuscleat.wire import decode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, RemoveWorker, StopRuns
from tests.fakes import ManualClock
from tests.fakes.executor import make_executor, run_once
from tests.fakes.jobs import JOB, JobTableHarness, job, step, worker

LIMITS = ExecutionLimits()


class ExecutorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.executor = make_executor(self.harness, self.clock, self.make_client)

    def make_client(self, record):
        return WorkerModel(
            self.clock, record.born_ms, lambda order: (None, RunOutcome.DONE)
        )

    def test_tasks_are_movable_while_another_worker_is_being_removed(self):
        """Guards against a lookup of a worker that was removed since the last plan."""
        for worker_id in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(worker_id, cpu=1_000))
        steps = [step(1, long_running=True, may_miss=1)]
        self.harness.accept(job(steps=steps))
        for _ in range(3):
            run_once(self.executor)
        (place,) = {key for key in self.harness.table.runs}
        others = {"w1", "w2", "w3"} - {place[0]}
        removed = RemoveWorker(worker_id=min(others), born_ms=5)
        self.harness.apply(remove_worker=removed)
        moved = self.executor.movable_tasks(place[0])
        self.assertEqual([JOB], [key.job_id for key, _ in moved])

    def test_a_plan_that_fails_does_not_end_the_executor(self):
        """Guards against a leader that starts nothing until it is replaced."""
        plan = self.executor._planner.plan
        errors = [KeyError("w1"), None]

        def plan_or_fail(*args):
            error = errors.pop(0)
            if error is not None:
                raise error
            self.executor._stopping.set()
            return plan(*args)

        self.executor._planner.plan = plan_or_fail
        with self.assertLogs("absl", "ERROR"):
            self.executor._run()
        self.assertEqual(1, self.executor.plan_count)

    def test_a_start_whose_proposal_raises_is_no_longer_expected(self):
        """Guards against a task that counts as being started for good."""
        self.harness.apply(worker=worker("w1"))
        run_once(self.executor)
        self.harness.accept(job())
        self.executor._replica.propose = lambda *args: 1 / 0
        self.assertRaises(ZeroDivisionError, self.executor.run_once)
        self.assertEqual(set(), self.executor.sessions["w1"].pending())

    def test_a_drained_worker_that_is_unresponsive_counts_as_unresponsive(self):
        """Guards against a task that is given to it because its drain could end."""
        self.harness.apply(worker=worker("w1"))
        run_once(self.executor)
        self.executor.set_draining({"w1"})
        reasons = [self.executor.worker_views()["w1"].unusable_because]
        model = self.executor.sessions["w1"]._client
        model.hold = lambda *args: HoldAnswer(OrderOutcome.NO_ANSWER)
        self.executor.sessions["w1"].hold_once()
        reasons.append(self.executor.worker_views()["w1"].unusable_because)
        self.assertEqual([WaitReason.DRAINING, WaitReason.UNRESPONSIVE], reasons)

    def test_an_iteration_that_fails_does_not_end_the_thread(self):
        """Guards against a leader that holds its workers and starts nothing more."""
        self.harness.apply(worker=worker())
        run_once(self.executor)
        self.harness.accept(job())
        plan, calls = self.executor._planner.plan, []

        def fail_once(*args):
            calls.append(args)
            if len(calls) == 1:
                raise OverflowError("cannot convert float infinity to integer")
            self.executor._stopping.set()
            return plan(*args)

        with mock.patch.object(self.executor._planner, "plan", fail_once):
            self.executor._run()
        self.assertEqual(2, len(calls))
        self.assertEqual(1, len(self.harness.table.runs))
        self.assertEqual(["w1"], list(self.executor.sessions))

    def test_a_stop_that_was_never_sent_blocks_other_moves_for_a_limited_time(self):
        """Guards against a task that counts as unavailable although it runs."""
        for worker_id in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(worker_id, cpu=1_000))
        self.harness.accept(job(steps=[step(2, long_running=True, may_miss=1)]))
        for _ in range(3):
            run_once(self.executor)
        first, second = sorted(key[0] for key in self.harness.table.runs)
        ((key, number),) = self.executor.movable_tasks(first)
        self.executor.sessions[first].order_stop = lambda key, number: None
        self.executor.order_stop(first, key, number)
        since = self.clock.monotonic()
        while self.clock.monotonic() - since < STOP_EFFECT_SECONDS:
            self.assertEqual([], self.executor.movable_tasks(second))
            self.clock.advance(0.5)
            run_once(self.executor)
        self.assertEqual(1, len(self.executor.movable_tasks(second)))

    def test_a_task_whose_stop_is_still_being_sent_counts_as_unavailable(self):
        """Guards against a second task of a step stopped beside a pending stop."""
        for worker_id in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(worker_id, cpu=1_000))
        self.harness.accept(job(steps=[step(2, long_running=True, may_miss=1)]))
        for _ in range(3):
            run_once(self.executor)
        (first, (task,)), (second, _) = [
            (place, list(tasks.values()))
            for place, tasks in self.harness.table.runs.items()
        ]
        self.assertEqual(1, len(self.executor.movable_tasks(second[0])))
        self.executor.sessions[first[0]].order_stop(task.key, task.number)
        self.assertEqual([], self.executor.movable_tasks(second[0]))

    def test_a_task_that_a_former_leader_has_stopped_counts_as_unavailable(self):
        """Guards against a second task of a step stopped by the next leader."""
        for worker_id in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(worker_id, cpu=1_000))
        self.harness.accept(job(steps=[step(2, long_running=True, may_miss=1)]))
        for _ in range(3):
            run_once(self.executor)
        (first, (task,)), (second, _) = [
            (place, list(tasks.values()))
            for place, tasks in self.harness.table.runs.items()
        ]
        self.assertEqual(1, len(self.executor.movable_tasks(second[0])))
        stopped = task.key.run_record(task.number, first)
        self.harness.apply(stop_runs=StopRuns(runs=[stopped]))
        self.assertEqual([], self.executor.movable_tasks(second[0]))

    def test_tasks_are_not_moved_to_a_worker_that_fails_its_runs(self):
        """Guards against a move to a worker that takes tasks only as a last resort."""
        for worker_id in ("w1", "w2", "w3"):
            self.harness.apply(worker=worker(worker_id, cpu=1_000))
        self.harness.accept(job(steps=[step(2, long_running=True, may_miss=1)]))
        for _ in range(3):
            run_once(self.executor)
        places = {key[0] for key in self.harness.table.runs}
        (other,) = {"w1", "w2", "w3"} - places
        self.assertEqual(1, len(self.executor.movable_tasks(min(places))))
        breaker = self.executor.sessions[other]._breaker
        for number in range(MAX_FAILED_JOBS):
            breaker.record_failure(f"job {number}")
        self.assertEqual([], self.executor.movable_tasks(min(places)))
        self.clock.advance(OPEN_SECONDS)
        breaker.max_new_runs = lambda running: 0  # A trial run is active.
        self.assertTrue(breaker.accepts_long_running())
        self.assertEqual([], self.executor.movable_tasks(min(places)))


class LeftWorkerTest(TestCase):
    def test_a_late_announcement_of_a_worker_that_left_brings_it_no_runs(self):
        """Guards against a server in use again after it has left."""
        clock, harness = ManualClock(), JobTableHarness()
        model = WorkerModel(clock, 5, lambda order: (None, RunOutcome.DONE))
        executor = make_executor(harness, clock, lambda record: model)
        harness.apply(worker=worker())
        run_once(executor)
        harness.apply(remove_worker=RemoveWorker(worker_id="w1", born_ms=5))
        run_once(executor)
        model.hold = lambda order, timeout: HoldAnswer(OrderOutcome.NO_ANSWER)
        harness.apply(worker=worker())
        harness.accept(job())
        for _ in range(3):
            run_once(executor)
        self.assertEqual({}, harness.table.runs)


class QuorumLossTest(TestCase):
    """A leader that hears no quorum for a moment and then leads in the same term."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.models = {}
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        self.replica = self.executor._replica

    def make_client(self, record):
        incarnation = (record.worker_id, record.born_ms)
        if incarnation not in self.models:
            self.models[incarnation] = WorkerModel(
                self.clock, record.born_ms, lambda order: (None, RunOutcome.DONE)
            )
        return self.models[incarnation]

    def play(self, count=3):
        for _ in range(count):
            run_once(self.executor)

    def lose_quorum(self):
        self.replica.leads = lambda: False
        self.executor.run_once()
        del self.replica.leads

    def test_workers_accept_the_sessions_of_a_leader_that_regained_its_quorum(self):
        """Guards against fencing tokens that are lower than those used before."""
        for worker_id in ("w1", "w2"):
            self.harness.apply(worker=worker(worker_id))
        self.play()
        self.harness.apply(worker=worker("w1", born_ms=6))
        self.play()
        self.lose_quorum()
        self.play()
        usable = {name: s.is_usable() for name, s in self.executor.sessions.items()}
        self.assertEqual({"w1": True, "w2": True}, usable)

    def test_a_worker_that_opens_a_session_again_may_still_hold_its_lease(self):
        """Guards against a task that is rescheduled while its former run continues."""
        self.harness.apply(worker=worker())
        self.clock.advance(10 * LIMITS.max_lease)
        self.harness.accept(job(steps=[step(1, long_running=True)]))
        self.play()
        model = self.models["w1", 5]
        self.assertEqual(1, len(model.running()))
        self.lose_quorum()
        model.hold = lambda order, timeout: HoldAnswer(OrderOutcome.NO_ANSWER)
        while self.harness.table.runs:
            self.play(1)
        self.assertEqual({}, model.running())

    def test_a_new_leader_waits_for_the_leases_of_the_former_one_and_no_longer(self):
        """Guards against tasks that wait longer than a leader's leases last."""
        self.harness.apply(worker=worker())
        self.harness.accept(job(steps=[step(1, long_running=True)]))
        self.play()
        model = self.models["w1", 5]
        self.assertEqual(1, len(model.running()))
        since = self.clock.monotonic()
        self.replica.term = lambda: 2
        self.replica.led_since = lambda: since
        model.hold = lambda order, timeout: HoldAnswer(OrderOutcome.NO_ANSWER)
        while self.harness.table.runs:
            self.play(1)
        self.assertEqual({}, model.running())
        waited = self.clock.monotonic() - since
        self.assertTrue(waited < LIMITS.expiry_upper_bound(LIMITS.lease) + 1.0, waited)


class ChangedWorkerTest(TestCase):
    """Workers that are removed, move to another address or reject the leader."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.clients = []
        self.model = WorkerModel(self.clock, 5, lambda order: (None, RunOutcome.DONE))
        self.executor = make_executor(self.harness, self.clock, self.make_client)
        self.harness.apply(worker=worker())
        run_once(self.executor)

    def make_client(self, record):
        self.clients.append(record)
        return self.model

    def test_a_worker_that_is_removed_and_announced_again_is_usable(self):
        """Guards against a closed session that is kept since the worker is the same."""
        hold = self.model.hold
        self.model.hold = lambda order, timeout: HoldAnswer(OrderOutcome.OTHER_WORKER)
        self.executor.sessions["w1"].hold_once()
        self.model.hold = hold
        self.harness.apply(worker=worker())
        run_once(self.executor)
        self.assertTrue(self.executor.sessions["w1"].is_usable())

    def test_a_worker_that_changes_its_address_is_called_there(self):
        self.harness.apply(worker=worker(host="10.0.0.2", sequence=2))
        run_once(self.executor)
        self.assertEqual("10.0.0.2", self.clients[-1].host)
        self.assertTrue(self.executor.sessions["w1"].is_usable())

    def test_runs_on_a_worker_that_rejects_the_leader_are_lost_after_its_lease(self):
        """Guards against a run that the log has for as long as the leader leads."""
        self.harness.accept(job(steps=[step(1, long_running=True)]))
        run_once(self.executor)
        since = self.clock.monotonic()
        self.model._fence = 10**9
        while self.harness.table.runs:
            self.assertTrue(self.clock.monotonic() - since < 20.0)
            run_once(self.executor)
        self.assertEqual({}, self.model.running())
        self.assertFalse(self.executor.sessions["w1"].is_usable())

    def test_a_session_with_a_failed_thread_is_replaced(self):
        """Guards against a worker that nobody calls after an unexpected exception."""
        threads = (
            lambda session: session._run(),
            lambda session: session._sender._run_orders(),
            lambda session: session._sender._run_retries(),
        )
        for run_thread in threads:
            session = self.executor.sessions["w1"]
            self.model.hold = None
            session._sender._orders.put("no order")
            session._sender._retries.put("no order")
            session._status._answered_at = 0.0
            self.assertRaises((AttributeError, TypeError), run_thread, session)
            del self.model.hold
            self.executor.run_once()
            self.assertIsNot(session, self.executor.sessions["w1"])
            run_once(self.executor)
            self.assertTrue(self.executor.sessions["w1"].is_usable())

    def test_a_hold_between_the_commit_and_the_start_of_a_run_does_not_stop_it(self):
        """Guards against stops of runs that a concurrent hold does not list yet."""
        self.harness.apply(worker=worker("w1"))
        for _ in range(2):
            run_once(self.executor)
        self.harness.accept(job(steps=[step(1, long_running=True, may_miss=1)]))
        session = self.executor.sessions["w1"]
        propose = self.executor._replica.propose
        expected = []

        def propose_and_hold(payload, timeout):
            result = propose(payload, timeout)
            if decode(JobCommand, payload).starts is not None:
                expected.append(session._expected_runs()[0])
            return result

        self.executor._replica.propose = propose_and_hold
        run_once(self.executor)
        self.assertEqual([{}], expected)
        self.assertEqual(1, len(self.harness.table.runs[session.incarnation]))
