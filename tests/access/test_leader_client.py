"""Which hosts a leader client calls, and its result when none of them answers."""

from returns.result import Failure, Success
from testtools import TestCase

from arbutuscleat.access import LeaderClient
from arbutuscleat.access.leader_client import AVOID_SECONDS
from arbutuscleat.wire import CallError, CallErrorKind, Credentials
from arbutuscleat.wire.gen_jobs.ttypes import (
    JobAnswer,
    JobRequest,
    LocateAnswer,
    Verdict,
)
from tests.fakes import ManualClock

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class FakePool:
    def __init__(self, host, control):
        self.host = host
        self.control = control

    def call(self, method, request, timeout):
        self.control.called_hosts.append(self.host)
        self.control.clock.advance(0.001)
        if method == "locate" and self.host not in self.control.down:
            return Success(LocateAnswer(leader=self.control.leader, members=HOSTS))
        return self.control.answer(self.host)

    def close(self):
        pass


class Control:
    """Three control instances, of which at most one leads."""

    def __init__(self):
        self.clock = ManualClock()
        self.called_hosts = []
        self.leader = HOSTS[1]
        self.down = {}

    def answer(self, host):
        if host in self.down:
            return Failure(CallError(self.down[host], "scripted"))
        verdict = Verdict.DONE if host == self.leader else Verdict.NOT_LEADER
        return Success(JobAnswer(verdict=verdict, leader=self.leader))

    def make_client(self, **options):
        credentials = Credentials("test", "", "10.0.0.9", "x")
        client = LeaderClient(lambda: HOSTS, 7000, credentials, self.clock, **options)
        client._pool = lambda host: FakePool(host, self)
        return client


class LeaderClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.control = Control()
        self.client = self.control.make_client()

    def call(self, seconds=1.0):
        self.control.called_hosts = []
        return self.client.call("look_up", JobRequest(), seconds)

    def test_a_reported_leader_is_called_and_remembered(self):
        self.assertEqual(Verdict.DONE, self.call().answer.verdict)
        self.assertEqual([HOSTS[0], HOSTS[1]], self.control.called_hosts)
        self.call()
        self.assertEqual([HOSTS[1]], self.control.called_hosts)

    def test_a_host_that_does_not_answer_is_called_last(self):
        self.control.down = {HOSTS[0]: CallErrorKind.CONNECT}
        self.call()
        self.control.leader = HOSTS[2]
        self.call()
        self.assertNotIn(HOSTS[0], self.control.called_hosts)

    def test_a_call_without_any_connection_was_not_sent(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.CONNECT)
        outcome = self.call()
        self.assertEqual((None, False), (outcome.answer, outcome.sent))

    def test_a_client_is_cut_off_when_most_instances_do_not_answer(self):
        for down, expected in ((HOSTS[:1], False), (HOSTS[:2], True), (HOSTS, True)):
            self.control = Control()
            self.client = self.control.make_client()
            self.control.down = dict.fromkeys(down, CallErrorKind.CONNECT)
            self.control.leader = ""
            self.call()
            self.assertEqual(expected, self.client.is_cut_off(), down)

    def test_a_client_is_no_longer_cut_off_when_instances_answer_again(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.CONNECT)
        self.call()
        self.control.down = {}
        self.control.clock.advance(AVOID_SECONDS)
        self.assertFalse(self.client.is_cut_off())

    def test_a_request_whose_answer_is_lost_counts_as_sent(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.LOST)
        outcome = self.call()
        self.assertEqual((None, True), (outcome.answer, outcome.sent))

    def test_a_lost_answer_still_counts_after_a_later_attempt_succeeds(self):
        self.control.down = {HOSTS[0]: CallErrorKind.LOST}
        outcome = self.call()
        self.assertEqual((Verdict.DONE, True), (outcome.answer.verdict, outcome.sent))

    def test_no_attempt_is_made_after_the_time_is_over(self):
        """Guards against a call that a suspended process sends when it wakes."""
        client = self.control.make_client()
        self.control.leader = ""
        sleep = self.control.clock.sleep

        def sleep_suspended(event, seconds):
            self.control.clock.advance(60.0)
            return sleep(event, seconds)

        self.control.clock.sleep = sleep_suspended
        outcome = client.call("submit", JobRequest(), 1.0)
        self.assertIsNone(outcome.answer)
        self.assertEqual(1, len(self.control.called_hosts))

    def test_the_leader_hint_is_called_first(self):
        self.client = self.control.make_client(leader_hint=lambda: HOSTS[1])
        self.call()
        self.assertEqual([HOSTS[1]], self.control.called_hosts)


class ProbeTest(TestCase):
    """A data centre is cut off: connections hang until their timeout."""

    def setUp(self):
        super().setUp()
        self.control = Control()
        self.reachable = set(HOSTS)
        self.client = self.control.make_client(
            find_reachable=lambda hosts, port, seconds: self.reachable & set(hosts)
        )

    def call(self):
        self.control.called_hosts = []
        return self.client.call("look_up", JobRequest(), 1.0)

    def test_calls_fail_at_once_while_most_instances_are_out_of_reach(self):
        self.reachable = {HOSTS[0]}
        self.client.probe()
        outcome = self.call()
        self.assertEqual((None, False), (outcome.answer, outcome.sent))
        self.assertEqual([], self.control.called_hosts)

    def test_calls_go_on_while_a_majority_is_in_reach(self):
        self.reachable = {HOSTS[0], HOSTS[1]}
        self.client.probe()
        self.assertIsNotNone(self.call().answer)

    def test_calls_go_on_once_a_probe_reaches_a_majority_again(self):
        self.reachable = set()
        self.client.probe()
        self.reachable = set(HOSTS)
        self.client.probe()
        self.assertFalse(self.client.is_cut_off())
        self.assertIsNotNone(self.call().answer)

    def test_calls_go_on_once_a_leader_answers(self):
        self.reachable = set()
        self.client.probe()
        self.assertTrue(self.client.refresh())
        self.assertIsNotNone(self.call().answer)

    def test_a_leader_that_is_reported_but_out_of_reach_is_not_seen(self):
        """The instances of the same data centre report it until its lease ends."""
        self.reachable = {HOSTS[0]}
        self.client.probe()
        self.control.clock.advance(0.5)
        self.client._note_leader(HOSTS[1])
        self.assertEqual(0.5, round(self.client.seconds_without_leader(), 3))
        self.assertIsNone(self.call().answer)
