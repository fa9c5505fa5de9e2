"""Metrics served over HTTP."""

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

    def test_counters_and_collected_gauges_are_served(self):
        server = self.serve(Address("127.0.0.1", 0))
        response = self.get(server, "/metrics")
        self.assertEqual(200, response.status)
        self.assertIn('calls{status="200"} 1', response.data.decode())
        self.assertIn('jobs_waiting{queue="a"} 3', response.data.decode())

    def test_other_paths_are_not_found(self):
        server = self.serve(Address("127.0.0.1", 0))
        self.assertEqual(404, self.get(server, "/other").status)

    def test_an_address_in_use_only_disables_the_metrics(self):
        with socket.create_server(("127.0.0.1", 0)) as other_socket:
            server = self.serve(Address("127.0.0.1", other_socket.getsockname()[1]))
        self.assertIs(None, server._server)

    def test_no_server_is_started_without_an_address(self):
        self.assertIs(None, self.serve(None)._server)
