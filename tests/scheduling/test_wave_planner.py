from testtools import TestCase

from arbutuscleat.scheduling import WaveMachine, choose_machines


def machine(name, load=0, is_up=True, is_draining=False):
    return WaveMachine(name, is_up, load == 0, is_draining, load)


class ChooseTest(TestCase):
    def test_idle_machines_come_first_up_to_the_cap(self):
        left = [machine("busy", 9), machine("a"), machine("b"), machine("c")]
        self.assertEqual(["a", "b"], choose_machines(left, 2, 0, 60.0)[:2])

    def test_no_more_than_the_cap_are_away(self):
        left = [machine(name) for name in "abcde"]
        for away in range(4):
            chosen = choose_machines(left, 3, away, 10.0)
            self.assertTrue(len(chosen) <= 3 - away, away)

    def test_one_busy_machine_at_a_time_when_there_is_time(self):
        left = [machine(name, 5) for name in "abcd"]
        self.assertEqual(["a"], choose_machines(left, 4, 0, 300.0))

    def test_more_at_a_time_when_the_wave_is_due_soon(self):
        left = [machine(name, 5) for name in "abcd"]
        self.assertEqual(4, len(choose_machines(left, 4, 0, 5.0)))

    def test_a_machine_that_is_being_emptied_stays_chosen(self):
        left = [machine("a", 1), machine("b", 9, is_draining=True)]
        self.assertIn("b", choose_machines(left, 1, 1, 60.0))

    def test_the_least_loaded_are_emptied_first(self):
        left = [machine("a", 9), machine("b", 3)]
        self.assertEqual(["b"], choose_machines(left, 1, 0, 60.0))

    def test_a_wave_gives_way_to_waiting_tasks_while_there_is_time(self):
        """Twenty idle machines, eight at once, as a queue's turn begins."""
        left = [machine(f"m{number}") for number in range(20)]
        self.assertEqual([], choose_machines(left, 8, 0, 26.0, has_shortage=True))
        self.assertEqual(8, len(choose_machines(left, 8, 0, 26.0, has_shortage=False)))
        self.assertEqual(8, len(choose_machines(left, 8, 0, 17.0, has_shortage=True)))

    def test_a_machine_that_is_not_up_waits(self):
        left = [machine("a", is_up=False)]
        self.assertEqual([], choose_machines(left, 1, 0, 60.0))
