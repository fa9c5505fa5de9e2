"""Which control instance should hold the sessions of each shard."""

from collections import Counter

from testtools import TestCase

from arbutuscleat.scheduling import balance_sessions

SHARDS = range(32)


def settle(current, holders, leader, max_moves=4):
    """Return the holders after as many steps as change anything, and their number."""
    for count in range(40):
        changes = balance_sessions(current, holders, leader, max_moves)
        if not changes:
            return current, count
        current = {**current, **changes}
    raise AssertionError("the assignments never settle")


class BalanceTest(TestCase):
    def test_the_leader_holds_nothing_while_two_others_can(self):
        current, _ = settle(dict.fromkeys(SHARDS, "a"), ["a", "b", "c"], "a")
        self.assertEqual({"b": 16, "c": 16}, Counter(current.values()))

    def test_the_leader_shares_with_a_single_other_holder(self):
        """Guards against a fleet whose sessions all stop with one process."""
        current, _ = settle(dict.fromkeys(SHARDS, "a"), ["a", "b"], "a")
        self.assertEqual({"a": 16, "b": 16}, Counter(current.values()))

    def test_shards_of_a_lost_holder_are_shared_by_all_others_at_once(self):
        before, _ = settle(dict.fromkeys(SHARDS, "a"), list("abcde"), "a")
        changes = balance_sessions(before, list("abde"), "a", 0)
        lost = [shard for shard, holder in before.items() if holder == "c"]
        self.assertEqual(lost, sorted(changes))
        after = Counter({**before, **changes}.values())
        self.assertTrue(max(after.values()) - min(after.values()) <= 1, after)

    def test_a_holder_that_joins_gets_its_part_a_few_shards_at_a_time(self):
        before, _ = settle(dict.fromkeys(SHARDS, "a"), list("abc"), "a")
        changes = balance_sessions(before, list("abcd"), "a", 4)
        self.assertEqual({"d": 4}, Counter(changes.values()))
        after, _ = settle(before, list("abcd"), "a")
        self.assertEqual([10, 11, 11], sorted(Counter(after.values()).values()))

    def test_nothing_moves_between_holders_that_are_present_if_no_move_is_allowed(self):
        current = dict.fromkeys(SHARDS, "b")
        self.assertEqual({}, balance_sessions(current, list("abc"), "a", 0))

    def test_without_holders_nothing_is_assigned(self):
        current = dict.fromkeys(SHARDS, "a")
        self.assertEqual({}, balance_sessions(current, [], "a", 4))
