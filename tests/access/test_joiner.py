"""The task that asks to join the group."""

from testtools import TestCase

from arbutuscleat.access import Joiner
from arbutuscleat.wire import Credentials
from tests.fakes import ManualClock


class FakeReplica:
    """A replica that knows neither a leader nor other members."""

    def status(self):
        return self

    leader = ""

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
