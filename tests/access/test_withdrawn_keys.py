"""A withdrawn key works at no replica, whatever happens to the group.

Each version of the configuration has one key, which the next one withdraws. Replicas
are cut off, suspended, restarted and wiped in any order, and asked after each step.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.consensus import ReplicaConfig
from arbutuscleat.jobs import JobTable
from arbutuscleat.nodes.control_node import REPLICA_CONFIG
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, SetConfig, Verdict
from tests.consensus.group import FOUNDERS, STEP_SECONDS, Group
from tests.fakes.teams import decode_teams, encode_teams, job_request, service_of

REVOKE_SECONDS = 5.0
"""From the acknowledgement to the last call with the key that may be answered."""

CONFIG = ReplicaConfig(
    heartbeat_seconds=0.2,
    election_seconds=REPLICA_CONFIG.election_seconds,
    election_spread=REPLICA_CONFIG.election_spread,
    snapshot_entries=2,
    kept_entries=1,
)


class KeyGroup:
    """A group of replicas with job tables, and what operators were told."""

    def __init__(self):
        self.group = Group(CONFIG, make_state_machine=lambda: JobTable(decode_teams))
        self.version = 0
        self.proposals = {}
        self.acknowledged = {}
        """Time of the acknowledgement by version."""

        self.group.run(3.0)

    def withdraw(self, name):
        """Have a replica that leads, or believes so, propose the next version."""
        if name in self.group.silent:
            return
        if name not in [leader for _, leader in self.group.leading()]:
            return
        self.version += 1
        content = encode_teams(self.version, {"berths": [f"k{self.version}"]})
        command = SetConfig(version=self.version, content=content)
        payload = encode(JobCommand(config=command))
        self.proposals[self.version] = self.group.append(payload, name)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.group.run(STEP_SECONDS)
            self.check()

    def check(self):
        """Ask each replica that is not suspended with each key."""
        now = self.group.clock.monotonic()
        for version, pending in self.proposals.items():
            if pending.applied:
                self.acknowledged.setdefault(version, now)
        limit = now - CONFIG.election_seconds
        in_force = [v for v, at in self.acknowledged.items() if at < limit]
        newest = max(in_force, default=0)
        for name in set(self.group.replicas) - self.group.silent:
            for version in range(1, newest):
                assert not self.accepts(name, version), (
                    f"{name} accepts the key of version {version}, "
                    f"{newest} was acknowledged before"
                )

    def accepts(self, name, version):
        replica = self.group.replicas[name]
        table = replica._state.state_machine
        service = service_of(replica, table, self.group.clock)
        service._confirm_leadership = lambda verdict: verdict
        answer = service.look_up(job_request(f"k{version}", ""))
        return answer.verdict == Verdict.DONE


NAMES = st.sampled_from(FOUNDERS)
ACTIONS = st.one_of(
    st.tuples(st.just("run"), st.floats(0.1, 2.0)),
    st.tuples(st.just("cut"), st.frozensets(NAMES, min_size=2, max_size=2)),
    st.tuples(st.just("join"), st.just(None)),
    st.tuples(st.sampled_from(["suspend", "wake", "restart", "wipe"]), NAMES),
    st.tuples(st.just("withdraw"), NAMES),
)


class WithdrawnKeysTest(TestCase):
    def start(self):
        keys = KeyGroup()
        keys.withdraw(keys.group.leader())
        keys.run(1.0)
        return keys

    def test_a_former_leader_refuses_a_key_that_the_next_one_has_withdrawn(self):
        self.assertTrue(CONFIG.election_seconds < REVOKE_SECONDS)
        for suspended in (False, True):
            keys = self.start()
            group = keys.group
            former = group.leader()
            self.assertTrue(keys.accepts(former, 1))
            if suspended:
                group.silent = {former}
            else:
                group.cut = {frozenset((former, name)) for name in FOUNDERS}
            keys.run(3.0)
            keys.withdraw(group.leader())
            keys.run(1.0)
            self.assertIn(2, keys.acknowledged)
            self.assertTrue(keys.accepts(group.leader(), 2))
            group.silent = set()
            keys.check()
            self.assertFalse(keys.accepts(former, 1))
            group.cut = set()
            keys.run(3.0)

    def test_a_replica_that_was_cut_off_leads_with_the_newest_keys_only(self):
        """Guards against a key that returns with the leadership."""
        keys = self.start()
        group = keys.group
        late = next(name for name in FOUNDERS if name != group.leader())
        group.silent = {late}
        for _ in range(4):
            keys.withdraw(group.leader())
            keys.run(0.5)
        group.silent = set()
        group.restart(late)
        keys.run(3.0)
        group.silent = {group.leader()}
        keys.run(3.0)
        self.assertTrue(keys.accepts(group.leader(), 5))

    @settings(max_examples=60, deadline=None)
    @given(st.lists(ACTIONS, max_size=30))
    def test_no_withdrawn_key_is_accepted_in_any_order_of_failures(self, actions):
        keys = self.start()
        group = keys.group
        wiped = False
        for action, value in actions:
            if action == "run":
                keys.run(value)
            elif action == "withdraw":
                keys.withdraw(value)
            elif action == "cut":
                group.cut.add(value)
            elif action == "join":
                group.cut.clear()
            elif action == "suspend":
                group.silent.add(value)
            elif action == "wake":
                group.silent.discard(value)
            elif action == "restart":
                group.restart(value)
            elif not wiped:  # A second lost disk may lose what was acknowledged.
                wiped = True
                group.lose_disks(value)
            keys.check()
        group.silent.clear()
        group.cut.clear()
        keys.run(4.0)
