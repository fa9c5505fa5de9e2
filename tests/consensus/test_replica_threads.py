"""Threads of a replica that meet an unexpected exception."""

import threading

from testtools import TestCase

from arbutuscleat.consensus.replica_threads import ReplicaThreads
from arbutuscleat.core import SystemClock
from tests.consensus.harness import ReplicaHarness, SilentPeer

SECONDS = 10.0


class FailsOnce:
    """A step that raises when it is first called."""

    def __init__(self, result=None):
        self.result = result
        self.calls = 0
        self.again = threading.Event()

    def __call__(self, *args):
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("injected fault")
        self.again.set()
        return self.result


class ReplicaThreadsTest(TestCase):
    """Guards against a replica without timers, writer or a peer in a live process."""

    def make_state(self):
        state = ReplicaHarness().state
        state.clock = SystemClock()
        self.addCleanup(state.stopping.set)
        return state

    def assert_goes_on(self, fails_once, **steps):
        state = self.make_state()
        names = ("tick", "write_unsynced", "next_request", "handle_answer")
        made = {name: steps.get(name, lambda *args: None) for name in names}
        threads = ReplicaThreads(state, {"b": SilentPeer("b")}, **made)
        with self.assertLogs("absl", "ERROR"):
            threads.start()
            self.assertTrue(fails_once.again.wait(SECONDS))
        threads.stop()

    def test_the_timers_go_on(self):
        step = FailsOnce()
        self.assert_goes_on(step, tick=step)

    def test_the_writer_goes_on(self):
        step = FailsOnce(result=True)
        self.assert_goes_on(step, write_unsynced=step)

    def test_the_thread_of_a_peer_goes_on(self):
        step = FailsOnce()
        self.assert_goes_on(step, next_request=step)
