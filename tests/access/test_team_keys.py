"""Whose key a call needs, and whose jobs it reaches."""

from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from testtools import TestCase

from arbutuscleat.access import job_service
from arbutuscleat.consensus import ProposalError, ProposalErrorKind
from arbutuscleat.jobs import JobTable, key_digest
from arbutuscleat.wire.gen_jobs.ttypes import Verdict
from tests.fakes.jobs import JOB, OTHER_JOB, job
from tests.fakes.teams import TeamService, decode_teams

TEAMS = {"berths": ["b1", "b2"], "ledger": ["l1"]}
DONE, NO_JOB = Verdict.DONE, Verdict.NO_JOB
CONFLICT, UNAUTHORIZED = Verdict.CONFLICT, Verdict.UNAUTHORIZED


class TeamKeysTest(TestCase):
    def setUp(self):
        super().setUp()
        self.calls = TeamService()
        self.configure(TEAMS)

    def configure(self, teams, public=False):
        self.calls.configure(teams, public)

    def verdicts(self, key, job_id=JOB):
        """Return the verdicts of a look-up and a cancel."""
        return self.calls.look_up(key, job_id), self.calls.cancel(key, job_id)

    def owner(self, job_id=JOB):
        return self.calls.table.jobs[job_id].record.team

    def test_a_call_without_a_known_key_is_refused(self):
        self.calls.submit("b1")
        for key in (None, "", "b", "b11", "B1", "b1 ", "l1, b1"):
            self.assertEqual((UNAUTHORIZED, UNAUTHORIZED), self.verdicts(key))
            self.assertEqual(UNAUTHORIZED, self.calls.look_up(key, ""))
            self.assertEqual(UNAUTHORIZED, self.calls.submit(key, OTHER_JOB))
        self.assertEqual([JOB], list(self.calls.table.active))

    def test_a_refusal_waits_for_a_quorum(self):
        """Guards against a 401 by a former leader for a key that was added since."""
        kind = ProposalErrorKind.NOT_LEADER
        self.calls.replica.barrier = Failure(ProposalError(kind, ""))
        self.assertEqual(Verdict.NOT_LEADER, self.calls.submit("new"))
        self.assertEqual((Verdict.NOT_LEADER,) * 2, self.verdicts("new"))

    def test_an_unknown_queue_comes_before_the_key_and_the_key_before_the_id(self):
        self.assertEqual(UNAUTHORIZED, self.calls.submit(None, "odd"))
        self.assertEqual(Verdict.INVALID, self.calls.submit("b1", "odd"))
        self.calls.table.config = None
        self.assertEqual(Verdict.NO_CONFIG, self.calls.submit(None))

    def test_a_team_reaches_its_job_with_each_of_its_keys(self):
        self.assertEqual(DONE, self.calls.submit("b1"))
        self.assertEqual(DONE, self.calls.submit("b2"))
        self.assertEqual(1, len(self.calls.table.jobs))
        self.assertEqual((DONE, DONE), self.verdicts("b2"))

    def test_another_team_does_not_reach_a_job(self):
        self.calls.submit("b1")
        unknown = self.verdicts("l1", OTHER_JOB)
        self.assertEqual(unknown, self.verdicts("l1"))
        self.assertEqual((NO_JOB, NO_JOB), unknown)
        self.assertEqual(CONFLICT, self.calls.submit("l1"))
        self.assertEqual("berths", self.owner())
        self.assertEqual([JOB], list(self.calls.table.active))

    def test_the_team_that_an_entry_instance_sends_is_overwritten(self):
        self.calls.submit("b1", team="ledger", over_rate=True)
        record = self.calls.table.jobs[JOB].record
        self.assertEqual(("berths", None), (record.team, record.over_rate))
        self.configure({})
        self.calls.submit(None, OTHER_JOB, team="ledger")
        self.assertIsNone(self.owner(OTHER_JOB))

    def test_a_key_that_passes_to_another_team_takes_no_jobs_along(self):
        self.calls.submit("b1")
        self.configure({"berths": ["b3"], "ledger": ["b1"]})
        self.assertEqual((NO_JOB, NO_JOB), self.verdicts("b1"))
        self.assertEqual(CONFLICT, self.calls.submit("b1"))
        self.assertEqual(DONE, self.calls.submit("b3"))
        self.assertEqual((DONE, DONE), self.verdicts("b3"))

    def test_a_job_of_a_removed_team_goes_on_until_the_team_returns(self):
        self.calls.submit("b1")
        self.configure({"ledger": ["l1"]})
        self.assertEqual(UNAUTHORIZED, self.calls.look_up("b1"))
        self.assertEqual(NO_JOB, self.calls.look_up("l1"))
        self.assertEqual([JOB], list(self.calls.table.active))
        self.configure({"berths": ["b4"]})
        self.assertEqual(DONE, self.calls.look_up("b4"))

    def test_a_job_of_a_public_queue_stays_readable_once_keys_are_needed(self):
        """Guards against a 410 to the caller who was told of the acceptance."""
        self.configure(TEAMS, public=True)
        self.assertEqual(DONE, self.calls.submit(None))
        self.configure(TEAMS)
        self.assertEqual(UNAUTHORIZED, self.calls.look_up(None))
        for key in ("b1", "l1"):
            self.assertEqual(DONE, self.calls.submit(key))
            self.assertEqual(DONE, self.calls.look_up(key))
        self.assertIsNone(self.owner())

    def test_a_job_with_an_owner_is_readable_once_its_queue_is_public(self):
        self.calls.submit("b1")
        self.configure(TEAMS, public=True)
        self.assertEqual(DONE, self.calls.submit(None))
        self.assertEqual((DONE, DONE), self.verdicts(None))
        self.assertEqual("berths", self.owner())

    def test_without_teams_a_key_changes_nothing(self):
        self.configure({})
        for key in (None, "b1", "unknown"):
            self.assertEqual(DONE, self.calls.submit(key))
            self.assertEqual(DONE, self.calls.look_up(key))
        self.assertIsNone(self.owner())

    def test_a_withdrawn_key_does_not_return_with_a_snapshot(self):
        self.calls.submit("b1")
        self.configure({"berths": ["b2"]})
        image = self.calls.table.image()
        self.calls.table.restore(image)
        self.assertEqual(UNAUTHORIZED, self.calls.look_up("b1"))
        self.assertEqual(DONE, self.calls.look_up("b2"))
        fresh = JobTable(decode_teams)
        fresh.restore(image)
        self.assertEqual("berths", fresh.jobs[JOB].record.team)
        self.assertIsNone(fresh.config.team_of_key(key_digest("b1")))

    def test_an_older_version_that_comes_again_restores_no_key(self):
        first = self.calls.table.config_content
        self.configure({"berths": ["b2"]})
        with self.assertRaises(AssertionError):
            self.calls.version = 0
            self.configure(TEAMS)
        self.assertNotEqual(first, self.calls.table.config_content)
        self.assertEqual(UNAUTHORIZED, self.calls.look_up("b1"))

    def test_a_job_of_the_log_without_a_team_has_no_owner(self):
        """Entries of former versions have no team."""
        self.calls.harness.accept(job())
        self.assertEqual(DONE, self.calls.submit("l1"))

    def test_log_lines_name_the_team_and_no_key(self):
        key = "pqk8bdk9eevyxq2yyaza"
        digest = key_digest(key)
        self.configure({"berths": [key]})
        with (
            mock.patch.object(job_service, "REFUSED_LOG_SECONDS", 0.0),
            self.assertLogs(level="DEBUG") as logs,
        ):
            self.calls.submit(key)
            self.calls.submit(key, OTHER_JOB, steps=[])
            self.calls.submit("x6pwawxdmdejk7f92bqu", OTHER_JOB)
            self.calls.cancel(key)
        text = "\n".join(logs.output)
        self.assertIn(f"job {JOB} of queue approvals, team berths: accepted", text)
        self.assertIn(f"call to /approvals/{OTHER_JOB} refused: unknown key", text)
        for secret in (key, "x6pwawxdmdejk7f92bqu", digest.hex(), repr(digest)):
            self.assertNotIn(secret, text)


KEYS = st.sampled_from(["k0", "k1", "k2", "k3"])
STEPS = st.one_of(
    st.tuples(
        st.just("configure"), st.dictionaries(KEYS, st.sampled_from("xyz"), min_size=2)
    ),
    st.tuples(st.sampled_from(["submit", "look_up", "cancel"]), KEYS),
    st.tuples(st.just("restore"), KEYS),
)


class AnyOrderTest(TestCase):
    @given(st.lists(STEPS, min_size=5, max_size=25))
    def test_a_call_reaches_a_job_only_with_a_key_that_its_team_has_now(self, steps):
        """Checks each verdict against a model.

        That are the teams by key, the job's owner, and who cancelled the unknown id.
        """
        calls = TeamService()
        teams, owner = {"k0": "x", "k1": "y", "k2": "x"}, None
        cancelled_by = set()
        calls.configure({"x": ["k0", "k2"], "y": ["k1"]})
        for action, value in steps:
            if action == "configure":
                teams = value
                names = sorted(set(teams.values()))
                calls.configure(
                    {name: [k for k in teams if teams[k] == name] for name in names}
                )
            elif action == "restore":
                calls.table.restore(calls.table.image())
            else:
                team = teams.get(value)
                verdict = getattr(calls, action)(value)
                if team is None:
                    expected = UNAUTHORIZED
                elif action == "submit" and not owner and team in cancelled_by:
                    expected = NO_JOB
                elif action == "submit":
                    owner = owner or team
                    expected = DONE if team == owner else CONFLICT
                else:
                    expected = DONE if team == owner else NO_JOB
                    if action == "cancel" and team != owner:
                        cancelled_by.add(team)
                self.assertEqual(expected, verdict)
