import threading

from testtools import TestCase

from tests.consensus.harness import ReplicaHarness

FINISH_SECONDS = 10.0


class LockOrderTest(TestCase):
    """Guards against a deadlock between the replica and the state machine.

    The planner and the executor read `led_since` while they hold the state machine's
    lock, and applying an entry takes that lock while it holds the replica's lock.
    """

    def test_led_since_is_read_while_an_entry_is_applied(self):
        harness = ReplicaHarness().lead()
        found = []
        thread = threading.Thread(
            target=lambda: found.append(harness.replica.led_since()), daemon=True
        )
        with harness.state.lock:
            thread.start()
            thread.join(FINISH_SECONDS)
            self.assertEqual([harness.state.led_since], found)
