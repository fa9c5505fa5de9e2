"""Sessions of a control instance that does not lead."""

from testtools import TestCase

from arbutuscleat.emulator.worker_model import WorkerModel
from arbutuscleat.execution import (
    ExecutionLimits,
    LeaderLoad,
    SessionHolding,
    SessionLease,
    SessionManager,
    SessionRegistry,
    SessionReports,
)
from arbutuscleat.jobs import RunOutcome, SessionHolder, TaskStatus, shard_of
from arbutuscleat.jobs.task import TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import (
    AssignSessions,
    CancelJob,
    RenewRequest,
    RunRecord,
    SessionAssignmentChange,
    StopRuns,
)
from tests.fakes import ManualClock
from tests.fakes.jobs import JOB, JobTableHarness, job, run, step, worker

HOLDER = SessionHolder("control-2", "b1")
OTHER = SessionHolder("control-3", "c1")
KEY = TaskKey(JOB, 0, 0, 0)


class Follower:
    """A replica that does not lead."""

    def leads(self):
        return False


class FollowerSessionsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.harness = JobTableHarness()
        self.table = self.harness.table
        self.proposed = []
        self.model = WorkerModel(self.clock, 5, lambda order: (0.5, RunOutcome.DONE))
        self.lease = SessionLease(self.clock)
        holding = SessionHolding(Follower(), self.table, self.clock, HOLDER, self.lease)
        self.manager = SessionManager(
            self.table,
            lambda record: self.model,
            holding,
            self.propose,
            self.clock,
            ExecutionLimits(),
            LeaderLoad(self.clock),
            start_threads=False,
        )
        self.harness.apply(worker=worker())
        self.assign(HOLDER)

    def propose(self, command):
        """Commit a command at the leader; this process has not applied it yet."""
        self.proposed.append(command)
        return True

    def apply_proposed(self):
        for command in self.proposed:
            self.harness.propose(command)
        self.proposed = []

    def assign(self, holder):
        shard = shard_of("w1")
        change = SessionAssignmentChange(
            shard=shard,
            holder=holder.to_record(),
            expected_fence=self.table.session_assignments.fence(shard),
        )
        command = AssignSessions(changes=[change], min_fence=1)
        self.assertEqual([True], self.harness.apply(assign_sessions=command))
        self.lease.renew(self.clock.monotonic())
        with self.table.lock:
            self.manager.reconcile()
        for session in self.manager.sessions.values():
            session.hold_once()

    def start(self, *runs, steps=None):
        self.harness.accept(job(steps=steps))
        self.harness.start(*(runs or [run()]))
        self.session.send_queued_orders()

    @property
    def session(self):
        return self.manager.sessions["w1"]

    def test_a_run_is_ordered_once_its_start_is_applied_here(self):
        self.start()
        self.assertIn(KEY, self.model.running())

    def test_nothing_is_ordered_once_the_lease_has_run_out(self):
        """Guards against orders of a process that was paused for some seconds."""
        self.clock.advance(10.0)
        self.start()
        self.assertEqual({}, self.model.running())

    def test_an_end_that_is_not_applied_here_yet_is_no_missing_run(self):
        """Guards against stops, and a second end, of runs that have been recorded."""
        self.start()
        self.clock.advance(0.6)
        self.lease.renew(self.clock.monotonic())
        for _ in range(3):
            self.session.hold_once()
            self.session.send_queued_orders()
        self.assertEqual(1, len(self.proposed_but_begins()))
        self.assertEqual(set(), self.session.pending())
        self.apply_proposed()
        self.assertIs(TaskStatus.DONE, self.table.jobs[JOB].task(KEY).status)

    def test_a_session_ends_when_another_process_is_assigned(self):
        """Guards against a holder that has no permit any more, around a hand-over."""
        session = self.session
        self.assign(OTHER)
        self.assertEqual({}, self.manager.sessions)
        self.harness.accept(job())
        self.harness.start(run())
        session.order_start(run())
        session.send_queued_orders()
        self.assertEqual({}, self.model.running())

    def test_what_runs_goes_on_under_the_next_holder(self):
        """Guards against work that is started again because its holder was lost."""
        self.start(steps=[step(1, long_running=True)])
        self.assign(OTHER)
        self.assign(HOLDER)
        for _ in range(2):
            self.session.hold_once()
            self.session.send_queued_orders()
        self.assertIn(KEY, self.model.running())
        self.assertEqual([], self.proposed_but_begins())

    def proposed_but_begins(self):
        """Return the proposed commands, without those that tell that a job began."""
        return [item for item in self.proposed if item.begin_jobs is None]

    def test_a_later_session_has_a_higher_token(self):
        first = self.session._fence
        self.assign(OTHER)
        self.assign(HOLDER)
        self.assertTrue(self.session._fence > first)

    def test_runs_of_cancelled_jobs_and_of_moves_are_stopped_by_their_holder(self):
        steps = [step(2, long_running=True)]
        self.start(run(), run(index=1), steps=steps)
        self.harness.apply(stop_runs=StopRuns(runs=[run(index=1)]))
        self.assertEqual([(self.session, KEY._replace(task_index=1), 1)], self.stops())
        self.harness.apply(cancel=CancelJob(job_id=JOB, at_ms=1))
        self.assertEqual(2, len(self.stops()))
        self.assertEqual([], self.stops())

    def test_stops_for_the_sessions_of_others_stay_due(self):
        """Guards against a stop that is lost when its session has another holder."""
        self.start(steps=[step(1, long_running=True)])
        self.assign(OTHER)
        self.harness.apply(cancel=CancelJob(job_id=JOB, at_ms=1))
        self.assertEqual([], self.stops())
        self.assign(HOLDER)
        self.assertEqual([(self.session, KEY, 1)], self.stops())

    def stops(self):
        with self.table.lock:
            return self.manager.take_due_stops()

    # ---- reports ----

    def report(self, registry, reports, sequence, complete):
        current = reports.current()
        request = RenewRequest(
            holder=HOLDER.to_record(),
            sequence=sequence,
            applied_index=self.harness.index,
            leaving=False,
            complete=complete,
            conditions=reports.changes(current),
        )
        reports.acknowledge(current)
        registry.renew(request, self.table.session_assignments.last_index)
        return request.conditions

    def test_the_leader_knows_what_a_holder_reports(self):
        registry = SessionRegistry(self.clock)
        reports = SessionReports(self.table, self.manager)
        self.start(steps=[step(1, long_running=True)])
        self.session.hold_once()
        self.assertEqual(1, len(self.report(registry, reports, 1, True)))
        self.assertEqual([], self.report(registry, reports, 2, False))
        (known,) = registry.conditions(self.table.session_assignments).values()
        self.assertEqual(self.session.incarnation, known.incarnation)
        self.assertTrue(known.is_usable() and known.is_responsive())
        self.assertEqual([KEY], [task.key for task in known.running])
        self.session._status.pause(1.0)
        self.report(registry, reports, 3, False)
        (known,) = registry.conditions(self.table.session_assignments).values()
        self.assertFalse(known.is_usable())

    def test_reports_of_a_former_holder_are_not_used(self):
        """Guards against runs scheduled by what a process knew before a hand-over."""
        registry = SessionRegistry(self.clock)
        self.report(registry, SessionReports(self.table, self.manager), 1, True)
        self.assign(OTHER)
        self.assertEqual({}, registry.conditions(self.table.session_assignments))

    def test_a_request_that_arrives_after_a_later_one_changes_nothing(self):
        registry = SessionRegistry(self.clock)
        reports = SessionReports(self.table, self.manager)
        self.report(registry, reports, 2, True)
        reports.forget()
        self.session._status.pause(1.0)
        self.report(registry, reports, 1, True)
        (known,) = registry.conditions(self.table.session_assignments).values()
        self.assertTrue(known.is_usable())

    def test_a_change_that_expects_another_fence_has_no_effect(self):
        """Guards against an assignment that a later one has overtaken."""
        shard = shard_of("w1")
        before = self.table.session_assignments.by_shard[shard]
        change = SessionAssignmentChange(
            shard=shard, holder=OTHER.to_record(), expected_fence=before.fence - 1
        )
        command = AssignSessions(changes=[change], min_fence=9)
        self.assertEqual([False], self.harness.apply(assign_sessions=command))
        self.assertEqual(before, self.table.session_assignments.by_shard[shard])

    def test_assignments_are_in_snapshots(self):
        """Guards against two holders after a replica is restored."""
        before = dict(self.table.session_assignments.by_shard)
        index = self.table.session_assignments.last_index
        self.table.restore(self.table.image())
        self.assertEqual(before, self.table.session_assignments.by_shard)
        self.assertEqual(index, self.table.session_assignments.last_index)

    def test_a_start_on_a_worker_without_a_session_is_left_to_its_holder(self):
        other = RunRecord(**{**vars_of(run()), "worker_id": "w2"})
        self.harness.apply(worker=worker("w2"))
        self.harness.accept(job())
        self.harness.start(other)
        self.session.send_queued_orders()
        self.assertEqual({}, self.model.running())


def vars_of(record):
    return {name: getattr(record, name) for name in record.__slots__}
