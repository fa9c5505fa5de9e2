"""Control nodes that lose their disk, with the real replicas on loopback."""

import socket
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from arbutuscleat.execution import ExecutionLimits
from arbutuscleat.nodes.control_node import ControlNode, ControlNodeConfig
from arbutuscleat.wire import Address
from tests.fakes.jobs import decode_config

FOUNDERS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
SPARE = "127.0.0.14"
WAIT_SECONDS = 30.0


def free_port():
    """Return a port that is free at the first address."""
    with socket.create_server((FOUNDERS[0], 0)) as listener:
        return listener.getsockname()[1]


class ControlNodeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.port = free_port()
        self.nodes = {}
        self.addCleanup(self.stop_all)

    def stop_all(self):
        for host in list(self.nodes):
            self.stop(host)

    def start(self, host, folder, seeds, first_start=False):
        path = Path(self.folder.name) / folder
        path.mkdir()
        cfg = ControlNodeConfig(
            host=host,
            peer_port=self.port,
            listen=Address(host, 0),
            data_folder=path,
            first_start=first_start,
            read_seeds=lambda: seeds,
            cluster="test",
            limits=ExecutionLimits(),
        )
        node = ControlNode(cfg, decode_config, lambda record: None, lambda leader: None)
        self.nodes[host] = node
        node.start()

    def stop(self, host):
        self.nodes.pop(host).stop()

    def wait_for_members(self, hosts, voters):
        """Wait until the leader's log lists these hosts, and these as voters."""
        until = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < until:
            for node in self.nodes.values():
                replica = node._replica
                membership = replica._state.membership
                if (
                    replica.leads()
                    and set(replica.members()) == hosts
                    and set(membership.voters()) == voters
                ):
                    return
            time.sleep(0.05)
        self.fail(f"{sorted(hosts)} are not the members after {WAIT_SECONDS} s")

    def test_a_node_without_disk_and_seeds_gets_back_into_the_group(self):
        """Guards against a node that answers 503 for good (fault soak, seed 909)."""
        for host in FOUNDERS:
            self.start(host, host, FOUNDERS, first_start=True)
        self.start(SPARE, SPARE, FOUNDERS)
        self.wait_for_members({*FOUNDERS, SPARE}, set(FOUNDERS))
        lost = FOUNDERS[2]
        self.stop(lost)
        rest = {*FOUNDERS[:2], SPARE}
        self.wait_for_members(rest, rest)
        self.start(lost, "new-disk", [lost])
        self.wait_for_members({*rest, lost}, rest)
