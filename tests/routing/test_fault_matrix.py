"""The request rows of the fault matrix: every step from receive to release.

The endpoints count every run of every key; the promises are checked against them.
"""

import itertools

from returns.result import Success
from testtools import TestCase

from arbutuscleat.core import Outcome, RefusalReason
from arbutuscleat.routing import DispatchErrorKind, Request
from arbutuscleat.wire.gen.ttypes import Command, ForgetClaims
from tests import promises
from tests.fakes import FakeEntry

FAULTS = [None, *DispatchErrorKind]
CONTROL_FAULTS = [None, "no-quorum", "lost", "dropped"]


def request(key="", method="POST", body=b"content", timeout=10.0, **changes):
    values = {
        "service": "portal",
        "method": method,
        "path": "/x",
        "headers": (),
        "body": body,
        "labels": {},
        "key": key,
        "timeout_seconds": timeout,
    }
    return Request(**{**values, **changes})


def outcome(result):
    if isinstance(result, Success):
        return Outcome.RAN
    return result.failure().outcome


def reason(result):
    return None if isinstance(result, Success) else result.failure().reason


class OutcomeRows(TestCase):
    def test_every_dispatch_fault_for_every_kind_of_request(self):
        for kind, key, faults in itertools.product(
            ["POST", "GET"], ["", "k"], itertools.product(FAULTS, repeat=2)
        ):
            entry = FakeEntry()
            entry.endpoints.faults = list(faults)
            found = outcome(entry.router.serve(request(key, kind)))
            where = (kind, key, faults)
            runs = entry.endpoints.runs[key or "/x"]
            attempts = len(entry.endpoints.instances)
            if kind == "POST":
                promises.runs_at_most_once({where: runs})
            promises.not_run_is_true([(where, found.value)], {where: runs})
            self.assertEqual(found is Outcome.RAN, None in faults[:attempts], where)
            self.assertEqual(0, entry.admission.total_in_use(), where)

    def test_every_control_fault_at_every_step_of_a_claimed_request(self):
        steps = itertools.product(CONTROL_FAULTS, CONTROL_FAULTS, FAULTS)
        for first, second, fault in steps:
            entry = FakeEntry()
            entry.control.faults = [first, second]
            entry.endpoints.faults = [fault, fault]
            outcomes = []
            for _ in range(3):
                outcomes.append(("k", outcome(entry.router.serve(request("k"))).value))
                promises.not_run_is_true(outcomes, entry.endpoints.runs)
                promises.runs_at_most_once(entry.endpoints.runs)
            self.assertEqual(0, entry.admission.total_in_use())

    def test_a_refusal_before_the_claim_is_unknown_while_the_key_is_held(self):
        entry = FakeEntry()
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        entry.router.serve(request("k"))
        entry.has_right = False
        self.assertEqual(Outcome.UNKNOWN, outcome(entry.router.serve(request("k"))))
        self.assertEqual(Outcome.NOT_RUN, outcome(entry.router.serve(request("free"))))
        entry.control.faults = ["no-quorum"]
        self.assertEqual(Outcome.UNKNOWN, outcome(entry.router.serve(request("free"))))

    def test_an_isolated_instance_sends_nothing(self):
        entry = FakeEntry()
        entry.has_right = False
        for method in ("GET", "POST"):
            result = entry.router.serve(request(method=method))
            self.assertEqual(RefusalReason.ISOLATED, reason(result))
        self.assertFalse(entry.endpoints.runs)

    def test_a_right_that_ends_between_slot_and_send(self):
        entry = FakeEntry()
        checks = []
        entry.may_send = lambda instance: checks.append(instance)
        result = entry.router.serve(request("k"))
        self.assertEqual(Outcome.NOT_RUN, outcome(result))
        self.assertFalse(entry.endpoints.runs)
        self.assertIsNone(entry.control.machine.claim("portal/k"), "released")


class ClaimRows(TestCase):
    def two(self):
        first = FakeEntry()
        return first, FakeEntry(name="entry-2", beside=first)

    def test_a_resend_gets_the_kept_answer_through_any_instance(self):
        first, second = self.two()
        answer = first.router.serve(request("k")).unwrap()
        for entry in (first, second, first):
            self.assertEqual(answer, entry.router.serve(request("k")).unwrap())
        promises.runs_at_most_once(first.endpoints.runs)

    def test_a_resend_before_the_log_knows_of_the_end(self):
        first, second = self.two()
        first.ender.is_held_back = True
        answer = first.router.serve(request("k")).unwrap()
        self.assertEqual(answer, second.router.serve(request("k")).unwrap())

    def test_a_resend_after_the_owner_has_crashed(self):
        first, second = self.two()
        first.router.serve(request("k"))
        first.is_cut_off = True
        result = second.router.serve(request("k"))
        self.assertEqual(RefusalReason.KEY_FINISHED, reason(result))
        self.assertEqual(Outcome.RAN, outcome(result))

    def test_a_resend_while_the_first_attempt_runs(self):
        first, second = self.two()
        found = []

        def resend(req):
            first.endpoints.before_answer = lambda req: None
            found.append(second.router.serve(request("k")))

        first.endpoints.before_answer = resend
        first.router.serve(request("k"))
        self.assertEqual(Outcome.UNKNOWN, outcome(found[0]))
        promises.runs_at_most_once(first.endpoints.runs)

    def test_a_claim_is_never_taken_over(self):
        first, second = self.two()
        first.endpoints.faults = [DispatchErrorKind.LOST]
        first.router.serve(request("k"))
        for entry in (first, second, second):
            result = entry.router.serve(request("k"))
            self.assertEqual(Outcome.UNKNOWN, outcome(result))
        promises.runs_at_most_once(first.endpoints.runs)

    def test_a_key_with_other_content_is_refused(self):
        first, second = self.two()
        first.router.serve(request("k"))
        for entry in (first, second):
            result = entry.router.serve(request("k", body=b"other"))
            self.assertEqual(RefusalReason.KEY_REUSED, reason(result))

    def test_a_released_key_runs_on_the_next_attempt(self):
        first, second = self.two()
        first.endpoints.faults = [DispatchErrorKind.NOT_SENT] * 2
        self.assertEqual(Outcome.NOT_RUN, outcome(first.router.serve(request("k"))))
        self.assertEqual(Outcome.RAN, outcome(second.router.serve(request("k"))))
        promises.runs_at_most_once(first.endpoints.runs)

    def test_a_lost_word_on_the_claim_never_runs_and_is_released(self):
        entry = FakeEntry()
        entry.control.faults = ["lost", "no-quorum"]
        self.assertEqual(Outcome.UNKNOWN, outcome(entry.router.serve(request("k"))))
        self.assertFalse(entry.endpoints.runs)
        entry.ender.go_on()
        self.assertEqual(Outcome.RAN, outcome(entry.router.serve(request("k"))))

    def test_an_old_key_never_runs_again(self):
        entry = FakeEntry()
        key = "01890a5d-ac96-774b-bcce-b302099a8057"
        entry.router.serve(request(key))
        horizon = Command(forget_claims=ForgetClaims(2_000_000_000_000))
        entry.control.propose(horizon, 1.0)
        self.assertEqual(0, len(entry.control.machine.claims))
        entry.kept = None
        result = entry.router.serve(request(key))
        self.assertEqual(RefusalReason.KEY_TOO_OLD, reason(result))
        promises.runs_at_most_once(entry.endpoints.runs)


class RetryRows(TestCase):
    def test_a_request_that_fails_everywhere_meets_two_instances(self):
        entry = FakeEntry(["w1", "w2", "w3", "w4"])
        entry.endpoints.faults = [DispatchErrorKind.LOST] * 9
        entry.router.serve(request(method="GET"))
        self.assertEqual(2, len(set(entry.endpoints.instances)))
        self.assertEqual(2, len(entry.endpoints.instances))

    def test_the_budget_runs_dry_and_comes_back_with_successes(self):
        entry = FakeEntry(slots=64)
        entry.outliers.may_use = lambda name: True
        while entry.retries.try_withdraw():
            pass
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        result = entry.router.serve(request(method="GET"))
        self.assertEqual(RefusalReason.ANSWER_LOST, reason(result))
        for _ in range(20):
            entry.router.serve(request(method="GET"))
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        self.assertEqual(
            Outcome.RAN, outcome(entry.router.serve(request(method="GET")))
        )

    def test_no_retry_after_the_deadline(self):
        entry = FakeEntry()
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        entry.endpoints.before_answer = lambda req: entry.clock.advance(11)
        entry.router.serve(request(method="GET"))
        self.assertEqual(1, len(entry.endpoints.instances))

    def test_a_worker_that_fails_everything_is_taken_out_and_probed(self):
        entry = FakeEntry()
        for _ in range(40):
            entry.outliers.observe("worker-1", True, lambda: 1)
        self.assertEqual(["worker-1"], entry.outliers.ejected())
        self.assertFalse(entry.outliers.may_use("worker-1"))
        entry.clock.advance(3)
        self.assertTrue(entry.outliers.may_use("worker-1"))
        entry.outliers.record_dispatch("worker-1")
        self.assertFalse(entry.outliers.may_use("worker-1"), "one probe at a time")
        entry.outliers.observe("worker-1", False, lambda: 1)
        self.assertEqual([], entry.outliers.ejected())

    def test_outliers_never_break_the_budget(self):
        entry = FakeEntry()
        for name in ("worker-1", "worker-2"):
            for _ in range(40):
                entry.outliers.observe(name, True, lambda: 1)
        self.assertEqual(1, len(entry.outliers.ejected()))
        other = FakeEntry()
        for _ in range(40):
            other.outliers.observe("worker-1", True, lambda: 0)
        self.assertEqual([], other.outliers.ejected())


class ForwardRows(TestCase):
    def remote(self, **changes):
        first = FakeEntry(instances=())
        return first, FakeEntry(
            ["far-1"], name="entry-9", data_centre="qasim", beside=first, **changes
        )

    def test_work_for_another_data_centre_is_forwarded(self):
        first, second = self.remote()
        answer = first.router.serve(request("k")).unwrap()
        self.assertEqual("far-1", answer.instance_id)

    def test_a_lost_answer_of_a_forwarded_request_is_unknown(self):
        first, second = self.remote()
        second.is_cut_off = True
        self.assertEqual(Outcome.UNKNOWN, outcome(first.router.serve(request("k"))))
        second.is_cut_off = False
        first.router.serve(request("k"))
        promises.runs_at_most_once(first.endpoints.runs)

    def test_a_refusal_there_is_passed_on(self):
        first, second = self.remote()
        second.has_right = False
        result = first.router.serve(request())
        self.assertEqual(RefusalReason.ISOLATED, reason(result))
        self.assertEqual(Outcome.NOT_RUN, outcome(result))

    def test_it_is_one_hop_only(self):
        first, second = self.remote()
        result = first.router.serve_locally(request())
        self.assertEqual(RefusalReason.NO_INSTANCE_READY, reason(result))
