"""The thrift server's listening thread."""

import errno
import threading

from testtools import TestCase

from arbutuscleat.wire import Address, Channel, Credentials, ThriftServer
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import LocateAnswer, LocateRequest

SECONDS = 10.0


class FailingListener:
    """A listener whose first accept fails for want of file descriptors."""

    def __init__(self, listener):
        self.listener = listener
        self.failed = threading.Event()

    def accept(self):
        if not self.failed.is_set():
            self.failed.set()
            raise OSError(errno.EMFILE, "Too many open files")
        return self.listener.accept()

    def close(self):
        self.listener.close()


class Handler:
    def locate(self, request):
        return LocateAnswer(request_id=request.request_id, leader="x", members=[])


class ThriftServerTest(TestCase):
    def test_a_connection_that_cannot_be_accepted_does_not_end_the_server(self):
        """Guards against a node that no peer can reach after a moment without files."""
        credentials = Credentials("test", "", "127.0.0.1", "x")
        server = ThriftServer(
            JobControl.Processor(Handler()), Address("127.0.0.1", 0), credentials
        )
        self.addCleanup(server.stop)
        address = server.address
        server._listener = FailingListener(server._listener)
        with self.assertLogs("absl", "ERROR"):
            server.start()
            self.assertTrue(server._listener.failed.wait(SECONDS))
            channel = Channel(JobControl.Client, address, credentials)
            self.addCleanup(channel.close)
            answer = channel.call("locate", LocateRequest(), SECONDS)
        self.assertEqual("x", answer.unwrap().leader)
