"""A stateful test of slot transfers between members.

However transfers, lost answers and restarts are interleaved, the members together never
use more slots than the instance has.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutuscleat.routing import SlotTransfers, slot_shares
from arbutuscleat.state import Member

NAMES = ("a", "b", "c")
SLOTS = 8
RUN_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class TransferMachine(RuleBasedStateMachine):
    """Three members that borrow slots, lose and repeat transfers, and restart."""

    def __init__(self):
        super().__init__()
        self.incarnations = {name: 1 for name in NAMES}
        self.transfers = {name: SlotTransfers() for name in NAMES}
        self.unanswered = {}
        self.next_id = 0
        self.distribute_version()

    def members(self):
        return [
            Member(name, str(self.incarnations[name]), "dc", "h", 1, False, True)
            for name in NAMES
        ]

    def distribute_version(self):
        for transfers in self.transfers.values():
            transfers.apply_version(self.members())

    def limit(self, name):
        share = slot_shares(self.members(), name, "dc").of(SLOTS)
        return share + self.transfers[name].adjustment("w1")

    @rule(
        borrower=st.sampled_from(NAMES),
        lender=st.sampled_from(NAMES),
        wanted=st.integers(1, 4),
        lost=st.booleans(),
    )
    def borrow(self, borrower, lender, wanted, lost):
        if borrower == lender:
            return
        pair = (borrower, lender)
        if pair not in self.unanswered:
            self.next_id += 1
            self.unanswered[pair] = (self.next_id, wanted)
        transfer_id, wanted = self.unanswered[pair]
        free = (self.limit(lender) + 1) // 2
        given = self.transfers[lender].give(
            borrower,
            str(self.incarnations[borrower]),
            "w1",
            transfer_id,
            min(wanted, free),
        )
        if not lost:
            del self.unanswered[pair]
            self.transfers[borrower].receive(
                lender, str(self.incarnations[lender]), "w1", given
            )

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Restart a member; all members then hold the version that lists it again."""
        self.incarnations[name] += 1
        self.transfers[name] = SlotTransfers()
        self.unanswered = {p: w for p, w in self.unanswered.items() if name not in p}
        self.distribute_version()

    @invariant()
    def limits_never_exceed_the_slots(self):
        limits = {name: self.limit(name) for name in NAMES}
        assert all(limit >= 0 for limit in limits.values()), limits
        assert sum(limits.values()) <= SLOTS, limits


class TransferTest(TransferMachine.TestCase):
    settings = RUN_SETTINGS
