from testtools import TestCase

from arbutuscleat.scheduling import WaveMachine, choose_machines


def machine(name, load=0, is_up=True, is_draining=False):
    return WaveMachine(name, is_up, load == 0, is_draining, load)


class ChooseTest(TestCase):
    def test_idle_machines_come_first_up_to_the_cap(self):
        remaining = [machine("busy", 9), machine("a"), machine("b"), machine("c")]
        self.assertEqual(["a", "b"], choose_machines(remaining, 2, 0, 60.0)[:2])

    def test_no_more_machines_than_the_cap_are_unavailable(self):
        remaining = [machine(name) for name in "abcde"]
        for unavailable in range(4):
            chosen = choose_machines(remaining, 3, unavailable, 10.0)
            self.assertTrue(len(chosen) <= 3 - unavailable, unavailable)

    def test_busy_machines_are_drained_one_by_one_when_there_is_time(self):
        remaining = [machine(name, 5) for name in "abcd"]
        self.assertEqual(["a"], choose_machines(remaining, 4, 0, 300.0))

    def test_more_busy_machines_are_drained_when_the_wave_is_due_soon(self):
        remaining = [machine(name, 5) for name in "abcd"]
        self.assertEqual(4, len(choose_machines(remaining, 4, 0, 5.0)))

    def test_a_draining_machine_stays_chosen(self):
        remaining = [machine("a", 1), machine("b", 9, is_draining=True)]
        self.assertIn("b", choose_machines(remaining, 1, 1, 60.0))

    def test_the_least_loaded_machines_are_drained_first(self):
        remaining = [machine("a", 9), machine("b", 3)]
        self.assertEqual(["b"], choose_machines(remaining, 1, 0, 60.0))

    def test_a_wave_is_deferred_for_waiting_tasks_while_there_is_time(self):
        """Twenty idle machines, at most eight at once, at the start of a load peak."""
        remaining = [machine(f"m{number}") for number in range(20)]
        self.assertEqual([], choose_machines(remaining, 8, 0, 26.0, has_shortage=True))
        self.assertEqual(
            8, len(choose_machines(remaining, 8, 0, 26.0, has_shortage=False))
        )
        self.assertEqual(
            8, len(choose_machines(remaining, 8, 0, 17.0, has_shortage=True))
        )

    def test_a_deferred_wave_gives_drained_machines_back(self):
        """Guards against upkeep of idle machines that a load peak has begun to need."""
        remaining = [machine(f"m{number}", is_draining=True) for number in range(3)]
        remaining.append(machine("busy", load=1_000, is_draining=True))
        self.assertEqual(
            ["busy"], choose_machines(remaining, 8, 0, 26.0, has_shortage=True)
        )

    def test_a_machine_that_is_not_up_is_not_chosen(self):
        remaining = [machine("a", is_up=False)]
        self.assertEqual([], choose_machines(remaining, 1, 0, 60.0))
