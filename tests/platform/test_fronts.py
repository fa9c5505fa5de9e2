"""Requests to the HTTP fronts that are malformed or break off."""

import io
import json
from types import SimpleNamespace
from unittest import mock

from berthline import caller_front
from berthline.caller_front import CALL_SECONDS, CHALLENGE, CallerFront
from berthline.control_front import ControlFront
from testtools import TestCase

from arbutuscleat.access import CallOutcome
from arbutuscleat.jobs import key_digest
from arbutuscleat.metrics import Metrics
from arbutuscleat.web.http_request import ABANDONED_KEY
from arbutuscleat.wire import decode, encode
from arbutuscleat.wire.gen_jobs.ttypes import SubmitRequest, Verdict, WaveRequest
from examples.berthline import CONFIG
from tests.fakes import ManualClock
from tests.platform.test_bad_input import ANNOUNCEMENT, JOB, LONE_SURROGATE, changed

WAVE = {"wave": 1, "machines": ["m-1", "m-2"], "duration-s": 20, "cap": 1}


class FakeLeader:
    """Records the calls and answers all of them with one verdict."""

    def __init__(self):
        self.calls = []
        self.verdict = Verdict.DONE
        self.sent = True

    def call(self, method, request, seconds):
        self.calls.append((method, request, seconds))
        answer = SimpleNamespace(
            verdict=self.verdict,
            state="",
            pending=0,
            finished=True,
            detail="",
            retry_after_ms=0,
        )
        return CallOutcome(answer, self.sent)


class FrontTest(TestCase):
    def setUp(self):
        super().setUp()
        self.leader = FakeLeader()
        self.metrics = Metrics()
        self.control = ControlFront(self.leader, lambda: 1_000)
        self.callers = CallerFront(self.leader, lambda: False, self.metrics)

    def send(self, front, method, path, body=b"", missing=0, **headers):
        """Send a request and return the status; `missing` bytes never arrive."""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body) + missing),
            "wsgi.input": io.BytesIO(body),
            **headers,
        }
        found = []
        front(environ, lambda status, headers: found.append(int(status[:3])))
        return found[0]


class WaveTest(FrontTest):
    def test_a_wave_is_passed_on(self):
        body = json.dumps(WAVE).encode()
        self.assertEqual(200, self.send(self.control, "POST", "/v1/wave-start", body))
        ((_, request, _),) = self.leader.calls
        self.assertEqual(21_000, request.wave.due_at_ms)
        self.assertEqual(request, decode(WaveRequest, encode(request)))

    def test_an_odd_wave_is_refused(self):
        """Guards against a wave that no instance can send or log."""
        cases = [
            ("wave", 1 << 31),
            ("wave", True),
            ("cap", 1 << 31),
            ("cap", 0),
            ("duration-s", float("nan")),
            ("duration-s", float("inf")),
            ("duration-s", 10**30),
            ("duration-s", 10**400),
            ("duration-s", -1),
            ("machines", [{"machine": "m-1"}]),
            ("machines", [["m-1"]]),
            ("machines", [LONE_SURROGATE]),
            ("machines", ["m"] * 60_000),
        ]
        for name, value in cases:
            body = changed(WAVE, [name], value)
            status = self.send(self.control, "POST", "/v1/wave-start", body)
            self.assertEqual(400, status, (name, str(value)[:40]))
        self.assertEqual([], self.leader.calls)

    def test_the_number_of_a_wave_that_is_no_number(self):
        for number in ("\u00b2", "9" * 10, "9" * 5_000, "-1", "1.0", "x"):
            status = self.send(self.control, "GET", f"/v1/wave-get/{number}")
            self.assertEqual(404, status)
        self.assertEqual([], self.leader.calls)
        self.assertEqual(200, self.send(self.control, "GET", "/v1/wave-get/12"))


class AnnouncementTest(FrontTest):
    def test_an_announcement_that_the_leader_finds_invalid_is_refused(self):
        self.leader.verdict = Verdict.INVALID
        body = json.dumps(ANNOUNCEMENT).encode()
        path = "/v1/instances/i-1"
        self.assertEqual(400, self.send(self.control, "PUT", path, body))

    def test_an_odd_id_is_refused(self):
        body = json.dumps(ANNOUNCEMENT).encode()
        for method in ("PUT", "DELETE"):
            path = "/v1/instances/i%0d%0aX:%20y"
            self.assertEqual(400, self.send(self.control, method, path, body))
        self.assertEqual([], self.leader.calls)


class KeyTest(FrontTest):
    KEY = "pqk8bdk9eevyxq2yyaza"

    def calls(self, key):
        """Return the digests that are sent for each method."""
        headers = {} if key is None else {"HTTP_X_API_KEY": key}
        body = json.dumps(JOB).encode()
        for method in ("POST", "GET", "DELETE"):
            self.send(self.callers, method, "/a/1", body, **headers)
        return [request.key_digest for _, request, _ in self.leader.calls[-3:]]

    def test_the_digest_of_the_key_is_passed_on(self):
        self.assertEqual([key_digest(self.KEY)] * 3, self.calls(self.KEY))
        ((_, request, _),) = self.leader.calls[:1]
        self.assertEqual(request, decode(SubmitRequest, encode(request)))
        self.assertNotIn(self.KEY, repr(request))

    def test_no_key_and_an_empty_one_are_the_same(self):
        self.assertEqual([None] * 3, self.calls(None))
        self.assertEqual([None] * 3, self.calls(""))

    def test_a_key_is_what_its_bytes_are(self):
        """A header has one character for each byte; a configuration is UTF-8."""
        sent = "clé".encode().decode("latin-1")
        self.assertEqual([key_digest("clé")] * 3, self.calls(sent))
        for odd in ("\x00", "\xff", "k" * 100_000, "a, b"):
            self.assertEqual([key_digest(odd.encode("latin-1"))] * 3, self.calls(odd))

    def test_a_refused_key_gets_401_and_shows_nowhere(self):
        self.leader.verdict = Verdict.UNAUTHORIZED
        with (
            mock.patch("berthline.caller_front.REFUSED_LOG_SECONDS", 0.0),
            self.assertLogs(level="DEBUG") as logs,
        ):
            for key in (self.KEY, None):
                headers = {} if key is None else {"HTTP_X_API_KEY": key}
                environ = {
                    "REQUEST_METHOD": "GET",
                    "PATH_INFO": "/a/1",
                    "wsgi.input": io.BytesIO(),
                    **headers,
                }
                found = []
                body = self.callers(environ, lambda *head: found.append(head))
                ((status, fields),) = found
                self.assertEqual("401", status[:3])
                self.assertIn(CHALLENGE, fields)
                reason = "missing" if key is None else "unknown"
                error = {"error": f"the key is {reason}"}
                self.assertEqual(error, json.loads(b"".join(body)))
                self.assertEqual(1, self.metrics.counter("keys_refused", reason=reason))
        digest = key_digest(self.KEY)
        shown = "\n".join([*logs.output, self.metrics.render(), str(found)])
        self.assertIn("GET /a/1: 401, unknown key", shown)
        for secret in (self.KEY, digest.hex(), repr(digest)):
            self.assertNotIn(secret, shown)

    def test_a_repeated_submission_is_not_told_that_it_was_refused(self):
        """Guards against a job that runs although its caller was refused.

        The first attempt may have been accepted, before the key was withdrawn.
        """
        body = json.dumps(JOB).encode()
        for verdict, status in (
            (Verdict.UNAUTHORIZED, 401),
            (Verdict.NO_QUEUE, 404),
            (Verdict.REFUSED, 429),
        ):
            self.leader.verdict = verdict
            for sent, expected in ((True, 504), (False, status)):
                self.leader.sent = sent
                found = self.send(self.callers, "POST", "/a/1", body)
                self.assertEqual(expected, found)
        self.assertEqual(1, self.metrics.counter("keys_refused", reason="missing"))

    def test_an_odd_key_in_a_configuration_shows_in_no_error(self):
        row = {"name": "cugo130", "api-keys": [self.KEY, self.KEY + LONE_SURROGATE]}
        body = changed(CONFIG, ["tenants"], [row])
        with self.assertLogs(level="DEBUG") as logs:
            status = self.send(self.control, "PUT", "/v1/configuration", body)
        self.assertEqual(400, status)
        self.assertNotIn(self.KEY, "\n".join(logs.output))
        self.assertEqual([], self.leader.calls)


class RequestTest(FrontTest):
    def test_a_body_that_breaks_off_is_refused(self):
        """Guards against a traceback in the log for each such request."""
        body = json.dumps(JOB).encode()
        for front, method in ((self.control, "PUT"), (self.callers, "POST")):
            path = "/v1/configuration"
            self.assertEqual(400, self.send(front, method, path, body, missing=1))
        self.assertEqual([], self.leader.calls)

    def test_an_odd_deadline(self):
        for text in ("", "x", "-1", "1.5", "\u00b2", "9" * 400, "9" * 5_000, "nan"):
            headers = {"HTTP_X_ARBUTUSCLEAT_DEADLINE_MS": text}
            self.assertEqual(200, self.send(self.callers, "DELETE", "/a/1", **headers))
            seconds = self.leader.calls[-1][2]
            self.assertTrue(0.0 < seconds <= CALL_SECONDS, (text[:9], seconds))

    def test_a_job_whose_caller_has_left_is_not_passed_on(self):
        """Guards against a job that runs after its caller cancelled it (review/12)."""
        body = json.dumps(JOB).encode()
        left = {ABANDONED_KEY: lambda: True}
        self.assertEqual(503, self.send(self.callers, "POST", "/a/1", body, **left))
        self.assertEqual([], self.leader.calls)

    def test_a_request_is_not_passed_on_after_its_deadline(self):
        """Guards against a call by a process that was suspended after the read."""
        body = json.dumps(JOB).encode()
        clock = ManualClock()
        for seconds, status in ((2.0, 200), (3.5, 503)):
            for method in ("POST", "GET", "DELETE"):
                with (
                    mock.patch.object(caller_front, "_CLOCK", clock),
                    mock.patch.object(
                        caller_front, "_key_digest", lambda key: clock.advance(seconds)
                    ),
                ):
                    found = self.send(self.callers, method, "/a/1", body)
                self.assertEqual(status, found, (method, seconds))
        self.assertEqual(3, len(self.leader.calls))
        count = self.metrics.counter("clients_refused", server="callers", reason="late")
        self.assertEqual(3, count)

    def test_the_methods_of_callers_do_not_fill_the_metrics(self):
        for number in range(50):
            self.assertEqual(405, self.send(self.callers, f"M{number}", "/a/1"))
        self.assertEqual(
            50, self.metrics.counter("calls", method="other", status="405")
        )
