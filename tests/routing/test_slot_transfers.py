"""Slots that move between members never add up to more than the whole."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutuscleat.routing import SlotTransfers, slot_shares
from arbutuscleat.state import Member

NAMES = ("a", "b", "c")
SLOTS = 8
STEPS = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class TransferMachine(RuleBasedStateMachine):
    """Three members; answers are lost and asked for again, members restart."""

    def __init__(self):
        super().__init__()
        self.runs = {name: 1 for name in NAMES}
        self.transfers = {name: SlotTransfers() for name in NAMES}
        self.waiting = {}
        self.next_id = 0
        self.list_all()

    def members(self):
        return [
            Member(name, str(self.runs[name]), "dc", "h", 1, False, True)
            for name in NAMES
        ]

    def list_all(self):
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
        if pair not in self.waiting:
            self.next_id += 1
            self.waiting[pair] = (self.next_id, wanted)
        transfer_id, wanted = self.waiting[pair]
        free = (self.limit(lender) + 1) // 2
        given = self.transfers[lender].give(
            borrower, str(self.runs[borrower]), "w1", transfer_id, min(wanted, free)
        )
        if not lost:
            del self.waiting[pair]
            self.transfers[borrower].receive(
                lender, str(self.runs[lender]), "w1", given
            )

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """It has a share again once the others hold the version that lists it."""
        self.runs[name] += 1
        self.transfers[name] = SlotTransfers()
        self.waiting = {p: w for p, w in self.waiting.items() if name not in p}
        self.list_all()

    @invariant()
    def never_more_than_the_whole(self):
        limits = {name: self.limit(name) for name in NAMES}
        assert all(limit >= 0 for limit in limits.values()), limits
        assert sum(limits.values()) <= SLOTS, limits


class TransferTest(TransferMachine.TestCase):
    settings = STEPS
