"""A withdrawn key works at no replica, whatever happens to the group.

Each version of the configuration has one key, which the next one withdraws. Replicas
are cut off, suspended, restarted and wiped in any order, and asked after each step.
"""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from testtools import TestCase

from arbutuscleat.consensus import ReplicaConfig
from arbutuscleat.jobs import JobTable
from arbutuscleat.nodes.control_node import REPLICA_CONFIG
from arbutuscleat.wire import encode
from arbutuscleat.wire.gen_jobs.ttypes import JobCommand, SetConfig, Verdict
from tests.consensus.group import FOUNDERS, Group
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


class CheckedGroup(Group):
    """Calls `check` after each exchange between two replicas."""

    def check(self):
        pass

    def exchange(self, name, peer, answer_lost=False):
        is_sent = super().exchange(name, peer, answer_lost)
        self.check()
        return is_sent


class KeyGroup:
    """A group of replicas with job tables, and what operators were told."""

    def __init__(self):
        self.group = CheckedGroup(
            CONFIG, make_state_machine=lambda: JobTable(decode_teams)
        )
        self.version = 0
        self.proposals = {}
        self.acknowledged = {}
        """Time of the acknowledgement by version."""

        self.group.run(3.0)
        self.withdraw()
        self.group.run(1.0)
        self.group.check = self.check

    def leading(self):
        """Return the replicas that are not suspended and lead, or believe so."""
        names = [name for _, name in self.group.leading()]
        return [name for name in names if name not in self.group.silent]

    def withdraw(self):
        """Have each leader propose a version without the keys of the former ones."""
        for name in self.leading():
            self.version += 1
            content = encode_teams(self.version, {"berths": [f"k{self.version}"]})
            command = SetConfig(version=self.version, content=content)
            payload = encode(JobCommand(config=command))
            self.proposals[self.version] = self.group.append(payload, name)

    def check(self):
        """Ask each replica that is not suspended, with the key that it holds."""
        now = self.group.clock.monotonic()
        for version, pending in self.proposals.items():
            if pending.applied:
                self.acknowledged.setdefault(version, now)
        limit = now - CONFIG.election_seconds
        in_force = [v for v, at in self.acknowledged.items() if at < limit]
        newest = max(in_force, default=0)
        for name in set(self.group.replicas) - self.group.silent:
            config = self.group.replicas[name]._state.state_machine.config
            if config is not None and config.version < newest:
                assert not self.accepts(name, config.version), (
                    f"{name} accepts the key of version {config.version}, "
                    f"{newest} was acknowledged before"
                )

    def accepts(self, name, version):
        replica = self.group.replicas[name]
        table = replica._state.state_machine
        service = service_of(replica, table, self.group.clock)
        service._confirm_leadership = lambda verdict: verdict
        answer = service.look_up(job_request(f"k{version}", ""))
        return answer.verdict == Verdict.DONE

    def isolate(self):
        """Cut the leaders off from all others."""
        for leader in self.leading():
            self.group.cut |= {frozenset((leader, name)) for name in FOUNDERS}

    def suspend(self):
        """Suspend the leaders."""
        self.group.silent |= set(self.leading())

    def recover(self):
        """End all suspensions and cuts, and check before anything else runs."""
        self.group.silent.clear()
        self.check()
        self.group.cut.clear()


NAMES = st.sampled_from(FOUNDERS)
ACTIONS = st.one_of(
    st.tuples(st.just("run"), st.sampled_from([0.1, 0.3, 1.0, 2.5])),
    st.tuples(st.just("withdraw"), st.none()),
    st.tuples(st.sampled_from(["isolate", "suspend", "recover"]), st.none()),
    st.tuples(st.sampled_from(["restart", "wipe"]), NAMES),
)


LAG = [("run", 0.1), ("withdraw", None), ("run", 0.1), ("run", 0.1)]


class WithdrawnKeysTest(TestCase):
    def setUp(self):
        super().setUp()
        self.keys = KeyGroup()
        self.group = self.keys.group

    def withdraw(self):
        """Withdraw the key at the leader, and check that this is acknowledged."""
        self.keys.withdraw()
        self.group.run(0.5)
        self.assertIn(self.keys.version, self.keys.acknowledged)

    def test_a_former_leader_refuses_a_key_that_the_next_one_has_withdrawn(self):
        self.assertTrue(CONFIG.election_seconds < REVOKE_SECONDS)
        for fail in (self.keys.isolate, self.keys.suspend):
            former, version = self.group.leader(), self.keys.version
            self.assertTrue(self.keys.accepts(former, version))
            fail()
            self.group.run(3.0)
            self.withdraw()
            self.group.run(1.0)
            self.assertTrue(self.keys.accepts(self.group.leader(), self.keys.version))
            self.keys.recover()
            self.assertFalse(self.keys.accepts(former, version))
            self.group.run(3.0)

    def test_a_replica_that_was_cut_off_leads_with_the_newest_keys_only(self):
        """Guards against a key that returns from a disk with the leadership."""
        late = next(name for name in FOUNDERS if name != self.group.leader())
        self.group.silent = {late}
        for _ in range(4):
            self.withdraw()
        self.group.silent = set()
        self.group.restart(late)
        self.group.run(3.0)
        self.keys.suspend()
        self.group.run(3.0)
        newest = self.keys.version
        self.assertTrue(self.keys.accepts(self.group.leader(), newest))

    # A follower that lags becomes leader: it has the former version at first.
    @example([*LAG, ("isolate", None), ("run", 2.5), ("recover", None)])
    @settings(max_examples=100, deadline=None)
    @given(st.lists(ACTIONS, min_size=5, max_size=25))
    def test_no_withdrawn_key_is_accepted_in_any_order_of_failures(self, actions):
        keys = KeyGroup()
        may_wipe = True  # A second lost disk may lose what was acknowledged.
        for action, value in actions:
            if action == "run":
                keys.group.run(value)
            elif action == "restart":
                keys.group.restart(value)
            elif action != "wipe":
                getattr(keys, action)()
            elif may_wipe:
                may_wipe = False
                keys.group.lose_disks(value)
            keys.check()
        keys.recover()
        keys.group.run(4.0)
