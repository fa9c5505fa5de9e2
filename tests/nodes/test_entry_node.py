"""The readiness of an entry node."""

from testtools import TestCase

from arbutuscleat.nodes import entry_node
from arbutuscleat.nodes.entry_node import EntryNode, EntryNodeConfig
from arbutuscleat.wire import Address
from tests.fakes import ManualClock

ANY_PORT = Address("127.0.0.1", 0)


class ScriptedLeaderClient:
    """A client that finds a leader once, and whose next checks fail."""

    def __init__(self, node):
        self.node = node
        self.checks = 0
        self.found_at = 0.0

    def refresh(self):
        self.checks += 1
        if self.checks > 1:
            raise KeyError("leader")
        self.found_at = self.node._clock.monotonic()
        return True

    def is_cut_off(self):
        return False

    def seconds_without_leader(self):
        return self.node._clock.monotonic() - self.found_at


class EntryNodeTest(TestCase):
    def make_node(self):
        cfg = EntryNodeConfig(
            host="127.0.0.1",
            peer_port=1,
            callers=ANY_PORT,
            readiness=ANY_PORT,
            read_seeds=lambda: ("127.0.0.1",),
            cluster="test",
            readiness_path="/ready",
        )
        node = EntryNode(cfg, lambda *args: None)
        node._clock = ManualClock()
        node._leader_client = ScriptedLeaderClient(node)
        return node

    def test_a_node_whose_checks_fail_is_no_longer_ready(self):
        """Guards against callers sent to a node that finds no leader any more."""
        node = self.make_node()
        sleep = node._clock.sleep

        def sleep_until_checked(event, seconds):
            since = node._clock.monotonic() - node._leader_client.found_at
            if node._leader_client.checks == 1:
                self.assertTrue(node.is_ready())
            elif node._leader_client.checks and (
                since > entry_node.MAX_LEADERLESS_SECONDS + 1.0
            ):
                event.set()
            return sleep(event, seconds)

        node._clock.sleep = sleep_until_checked
        with self.assertLogs("absl", "ERROR"):
            node._watch_control()
        self.assertFalse(node.is_ready())

    def test_a_node_that_is_cut_off_is_not_ready_before_its_check_times_out(self):
        """Guards against callers sent to a data centre that is cut off."""
        node = self.make_node()
        node._check_control()
        self.assertTrue(node.is_ready())
        node._clock.advance(entry_node.MAX_CUT_OFF_SECONDS)
        self.assertTrue(node.is_ready())
        client = node._leader_client
        client.probe = lambda: setattr(client, "is_cut_off", lambda: True)
        node._probe_if_silent()
        self.assertFalse(node.is_ready())
