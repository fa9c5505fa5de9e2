"""Calls whose request cannot be encoded."""

from returns.result import Success
from testtools import TestCase

from arbutuscleat.wire import Address, Credentials, ThriftServer
from arbutuscleat.wire.channel import Channel
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import JobAnswer, JobRequest, Verdict

CREDENTIALS = Credentials("test", "", "a", "1")


class Service:
    """Answers look-ups."""

    def look_up(self, request):
        return JobAnswer(request_id=request.request_id, verdict=Verdict.DONE)


class ChannelTest(TestCase):
    def test_a_request_that_cannot_be_encoded_does_not_break_the_next_one(self):
        """Guards against half a message in the buffer of a connection."""
        processor = JobControl.Processor(Service())
        server = ThriftServer(processor, Address("127.0.0.1", 0), CREDENTIALS)
        server.start()
        self.addCleanup(server.stop)
        channel = Channel(JobControl.Client, server.address, CREDENTIALS)
        self.addCleanup(channel.close)
        self.call(channel, "h")
        self.assertRaises(UnicodeEncodeError, self.call, channel, "\ud800")
        for _ in range(2):
            self.assertIsInstance(self.call(channel, "h"), Success)

    def call(self, channel, host):
        return channel.call("look_up", JobRequest(host=host, path="/"), 5.0)
