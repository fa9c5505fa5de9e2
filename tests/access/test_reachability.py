"""Probes of loopback addresses: listening, refusing, and one that never accepts."""

import socket

from testtools import TestCase

from arbutuscleat.access.reachability import reachable_hosts


class ReachabilityTest(TestCase):
    def listen(self, host, port=0, backlog=8):
        sock = socket.create_server((host, port), backlog=backlog)
        self.addCleanup(sock.close)
        return sock.getsockname()[1]

    def test_only_hosts_that_listen_are_reachable(self):
        port = self.listen("127.0.0.2")
        self.listen("127.0.0.3", port)
        found = reachable_hosts(["127.0.0.2", "127.0.0.3", "127.0.0.4"], port, 2.0)
        self.assertEqual({"127.0.0.2", "127.0.0.3"}, found)

    def test_a_host_that_never_accepts_holds_up_no_other_one(self):
        port = self.listen("127.0.0.2")
        self.listen("127.0.0.3", port, backlog=0)
        waiting = []
        for _ in range(4):  # Fills the queue of new connections.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.3", port))
            waiting.append(sock)
            self.addCleanup(sock.close)
        found = reachable_hosts(["127.0.0.3", "127.0.0.2"], port, 0.3)
        self.assertEqual({"127.0.0.2"}, found)

    def test_no_hosts(self):
        self.assertEqual(set(), reachable_hosts([], 1, 0.1))
