"""Random sequences of requests to one follower, from any leaders a group may have.

The model keeps a history that obeys the protocol: a leader of a later term holds
every committed entry and may replace the entries that were not committed.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutuscleat.consensus.disk_recovery import RETRY_SECONDS
from tests import guarantees
from tests.consensus.harness import ReplicaHarness, entries

RUN_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class FollowerMachine(RuleBasedStateMachine):
    """A follower, the log of its leaders, and faults of the follower's disk."""

    def __init__(self):
        super().__init__()
        self.harness = ReplicaHarness().with_config(snapshot_entries=6, kept_entries=2)
        self.term = 1
        self.history = [1]
        self.committed = 0
        self.acknowledged = 0
        self.applied = []
        self.votes = []

    def terms(self):
        return list(self.history)

    def send(self, previous, count, commit):
        previous = min(previous, len(self.history))
        chosen = self.history[previous : previous + count]
        before = self.history[previous - 1] if previous else 0
        answer = self.harness.append(
            entries(previous + 1, *chosen),
            term=self.term,
            previous=(previous, before),
            commit=min(commit, self.committed),
            leader=f"leader-{self.term}",
        )
        if answer.accepted:
            last = previous + len(chosen)
            assert answer.last_index == last
            self.acknowledged = max(self.acknowledged, last)
        return answer

    @rule(count=st.integers(1, 4))
    def propose(self, count):
        self.history += [self.term] * count

    @rule()
    def replicate(self):
        """Send entries as a real leader does: from the end back to the first match."""
        previous = len(self.history)
        while not self.send(previous, 8, self.committed).accepted:
            if previous == 0:
                return
            previous -= 1
        self.send(previous, len(self.history), self.committed)

    @rule(
        previous=st.integers(0, 12), count=st.integers(0, 5), commit=st.integers(0, 30)
    )
    def late_or_duplicate(self, previous, count, commit):
        self.send(previous, count, commit)

    @rule()
    def commit(self):
        """Commit entries that the follower has acknowledged and a majority holds."""
        self.committed = max(self.committed, min(self.acknowledged, len(self.history)))

    @rule(keep=st.integers(0, 6))
    def new_leader(self, keep):
        """Elect a leader that may lack the entries that were not committed."""
        self.term += 1
        size = min(len(self.history), self.committed + keep)
        self.history = [*self.history[:size], self.term]
        self.acknowledged = min(self.acknowledged, size)

    @rule(candidate=st.sampled_from("bc"), ahead=st.integers(0, 2))
    def ask_vote(self, candidate, ahead):
        term = self.term + ahead
        if self.harness.vote(term=term, candidate=candidate).granted:
            self.votes.append((term, candidate))

    @rule()
    def tick(self):
        self.harness.replica.tick()

    @rule()
    def restart(self):
        self.harness.restart()

    @rule(fault=st.sampled_from(["error", "torn", "unsynced"]), write=st.integers(1, 3))
    def disk_fault(self, fault, write):
        self.harness.disk.fault, self.harness.disk.fail_at = fault, write
        self.replicate()
        self.harness.replica.tick()
        self.harness.disk.repair()
        self.harness.restart()

    @rule(fault=st.sampled_from(["error", "torn", "unsynced"]), write=st.integers(1, 3))
    def disk_refuses_writes_for_a_time(self, fault, write):
        self.harness.disk.fault, self.harness.disk.fail_at = fault, write
        self.replicate()
        self.harness.replica.tick()
        self.harness.disk.repair()
        self.harness.clock.advance(RETRY_SECONDS)
        self.harness.replica.tick()
        assert not self.harness.replica.status().failure

    @invariant()
    def votes_once(self):
        guarantees.one_vote_per_term(self.votes)

    @invariant()
    def applied_only_grows(self):
        now = self.harness.machine.applied
        shorter, longer = sorted([self.applied, now], key=len)
        guarantees.committed_entries_stay(shorter, longer)
        self.applied = longer

    @invariant()
    def applied_is_the_history(self):
        found = [text for _, text in self.harness.machine.applied]
        expected = [f"{i + 1}@{term}" for i, term in enumerate(self.history)]
        guarantees.committed_entries_stay(found, expected)

    @invariant()
    def acknowledged_is_durable(self):
        copy = ReplicaHarness(disk=self.harness.disk.copy())
        assert copy.state.log.last_index >= self.acknowledged
        for index in range(copy.state.log.base_index + 1, self.acknowledged + 1):
            assert copy.state.log.term_at(index) == self.history[index - 1]


class FollowerTest(FollowerMachine.TestCase):
    settings = RUN_SETTINGS
