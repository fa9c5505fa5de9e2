"""Metrics over HTTP."""

import socket

import urllib3
from testtools import TestCase

from arbutuscleat.metrics import Metrics
from arbutuscleat.nodes.metrics_server import MetricsServer
from arbutuscleat.wire import Address


class MetricsServerTest(TestCase):
    def serve(self, address):
        metrics = Metrics()
        metrics.count("calls", status="200")
        metrics.collect(lambda: {'jobs_waiting{queue="a"}': 3})
        server = MetricsServer(address, "/metrics", metrics)
        server.start()
        self.addCleanup(server.stop)
        return server

    def get(self, server, path):
        port = server._server.address.port
        return urllib3.request(
            "GET", f"http://127.0.0.1:{port}{path}", timeout=5.0, retries=False
        )

    def test_counters_and_collected_gauges_are_shown(self):
        server = self.serve(Address("127.0.0.1", 0))
        answer = self.get(server, "/metrics")
        self.assertEqual(200, answer.status)
        self.assertIn('calls{status="200"} 1', answer.data.decode())
        self.assertIn('jobs_waiting{queue="a"} 3', answer.data.decode())

    def test_nothing_else_is_served(self):
        server = self.serve(Address("127.0.0.1", 0))
        self.assertEqual(404, self.get(server, "/other").status)

    def test_a_taken_address_does_not_keep_the_process_from_serving(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            server = self.serve(Address("127.0.0.1", taken.getsockname()[1]))
        self.assertIs(None, server._server)

    def test_without_an_address_nothing_is_served(self):
        self.assertIs(None, self.serve(None)._server)
