"""The task that asks to join the group."""

from testtools import TestCase

from arbutuscleat.access import Joiner
from arbutuscleat.consensus import Role
from arbutuscleat.wire import Credentials
from tests.fakes import ManualClock


class FakeReplica:
    """A replica that knows neither a leader nor other members."""

    def status(self):
        return self

    leader = ""
    role = Role.FOLLOWER

    def members(self):
        return ()


class JoinerTest(TestCase):
    def test_settings_that_cannot_be_read_do_not_end_the_joiner(self):
        """Guards against a node that never joins after one bad read of its settings."""
        errors = [TypeError("not a list"), None]

        def read_seeds():
            error = errors.pop(0)
            if error is not None:
                raise error
            joiner.stop()
            return ()

        credentials = Credentials("test", "", "10.0.0.9", "x")
        joiner = Joiner(FakeReplica(), "x", read_seeds, 1, credentials, ManualClock())
        with self.assertLogs("absl", "ERROR"):
            joiner._run()
        self.assertEqual([], errors)

    def test_a_replica_whose_disk_refuses_writes_does_not_ask_to_join(self):
        replica = FakeReplica()
        replica.role = Role.FAILED
        asked = []
        credentials = Credentials("test", "", "10.0.0.9", "x")
        joiner = Joiner(
            replica, "x", lambda: asked.append(1) or (), 1, credentials, ManualClock()
        )
        joiner._check()
        self.assertEqual([], asked)
