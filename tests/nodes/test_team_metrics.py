"""Gauges of teams."""

from testtools import TestCase

from arbutuscleat.jobs import Capacity, QueueConfig, Service, Team
from arbutuscleat.nodes.team_metrics import MAX_TEAMS, team_gauges
from arbutuscleat.scheduling import StepWait
from tests.fakes.jobs import JOB, QUEUE, JobTableHarness, job, run, step, worker


class TeamMetricsTest(TestCase):
    def gauges(self, *teams):
        harness = JobTableHarness()
        services = [Service("karachi", True, False)]
        harness.table.config = QueueConfig(2, [QUEUE], services, teams)
        harness.apply(worker=worker(cpu=10_000, mem_mb=1_000))
        harness.accept(job(steps=[step(3)], team="north"))
        harness.start(run(), run(index=1))
        wait = StepWait((JOB, 0, 0), False, 0.0, task_count=1, capped_team="north")
        return team_gauges(harness.table, [wait])

    def test_a_configuration_without_teams_has_no_gauges(self):
        self.assertEqual({}, self.gauges())

    def test_use_cap_and_waiting_tasks_are_shown(self):
        team = Team("north", frozenset(), 2.5, Capacity(2_000, 0, 0))
        expected = {
            'team_dominant_share{team="north"}': 0.2,
            'team_weight{team="north"}': 2.5,
            'team_tasks_held_by_cap{team="north"}': 1,
            'team_used{resource="cpu_millicores",team="north"}': 2_000,
            'team_cap{resource="cpu_millicores",team="north"}': 2_000,
            'team_used{resource="mem_mb",team="north"}': 200,
            'team_cap{resource="mem_mb",team="north"}': 0,
            'team_used{resource="gpu",team="north"}': 0,
            'team_cap{resource="gpu",team="north"}': 0,
        }
        self.assertEqual(expected, self.gauges(team))

    def test_the_number_of_labels_is_bounded(self):
        teams = [Team(f"t{number}", frozenset()) for number in range(MAX_TEAMS + 5)]
        self.assertEqual(9 * MAX_TEAMS, len(self.gauges(*teams)))
