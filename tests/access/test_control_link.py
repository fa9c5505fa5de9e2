"""Whom a link asks, and what it says when nobody answers."""

from returns.result import Failure, Success
from testtools import TestCase

from arbutuscleat.access import LeaderClient
from arbutuscleat.access.leader_client import AVOID_SECONDS
from arbutuscleat.wire import CallError, CallErrorKind, Credentials
from arbutuscleat.wire.gen_jobs.ttypes import JobAnswer, JobRequest, Verdict
from tests.fakes import ManualClock

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class FakePool:
    def __init__(self, host, control):
        self.host = host
        self.control = control

    def call(self, method, request, timeout):
        self.control.asked.append(self.host)
        self.control.clock.advance(0.001)
        return self.control.answer(self.host)

    def close(self):
        pass


class Control:
    """Three control instances of which one may lead."""

    def __init__(self):
        self.clock = ManualClock()
        self.asked = []
        self.leader = HOSTS[1]
        self.down = {}

    def answer(self, host):
        if host in self.down:
            return Failure(CallError(self.down[host], "scripted"))
        verdict = Verdict.DONE if host == self.leader else Verdict.NOT_LEADER
        return Success(JobAnswer(verdict=verdict, leader=self.leader))

    def link(self, **options):
        credentials = Credentials("test", "", "10.0.0.9", "x")
        link = LeaderClient(lambda: HOSTS, 7000, credentials, self.clock, **options)
        link._pool = lambda host: FakePool(host, self)
        return link


class ControlLinkTest(TestCase):
    def setUp(self):
        super().setUp()
        self.control = Control()
        self.link = self.control.link()

    def call(self, seconds=1.0):
        self.control.asked = []
        return self.link.call("look_up", JobRequest(), seconds)

    def test_the_leader_that_is_named_is_asked_and_remembered(self):
        self.assertEqual(Verdict.DONE, self.call().answer.verdict)
        self.assertEqual([HOSTS[0], HOSTS[1]], self.control.asked)
        self.call()
        self.assertEqual([HOSTS[1]], self.control.asked)

    def test_a_host_without_an_answer_is_asked_last(self):
        self.control.down = {HOSTS[0]: CallErrorKind.CONNECT}
        self.call()
        self.control.leader = HOSTS[2]
        self.call()
        self.assertNotIn(HOSTS[0], self.control.asked)

    def test_without_connections_nothing_was_sent(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.CONNECT)
        outcome = self.call()
        self.assertEqual((None, False), (outcome.answer, outcome.sent))

    def test_it_is_cut_off_when_most_instances_do_not_answer(self):
        for down, expected in ((HOSTS[:1], False), (HOSTS[:2], True), (HOSTS, True)):
            self.control = Control()
            self.link = self.control.link()
            self.control.down = dict.fromkeys(down, CallErrorKind.CONNECT)
            self.control.leader = ""
            self.call()
            self.assertEqual(expected, self.link.is_cut_off(), down)

    def test_a_link_is_no_longer_cut_off_when_instances_answer_again(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.CONNECT)
        self.call()
        self.control.down = {}
        self.control.clock.advance(AVOID_SECONDS)
        self.assertFalse(self.link.is_cut_off())

    def test_a_lost_answer_may_have_been_taken(self):
        self.control.down = dict.fromkeys(HOSTS, CallErrorKind.LOST)
        outcome = self.call()
        self.assertEqual((None, True), (outcome.answer, outcome.sent))

    def test_a_lost_answer_is_remembered_when_another_one_comes(self):
        self.control.down = {HOSTS[0]: CallErrorKind.LOST}
        outcome = self.call()
        self.assertEqual((Verdict.DONE, True), (outcome.answer.verdict, outcome.sent))

    def test_a_process_goes_by_the_leader_that_it_follows(self):
        self.link = self.control.link(leader_hint=lambda: HOSTS[1])
        self.call()
        self.assertEqual([HOSTS[1]], self.control.asked)
