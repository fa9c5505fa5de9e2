"""The fault matrix of requests: faults at every step from arrival to release.

The fake endpoints count the runs of each key.  The guarantees in `tests.guarantees` are
checked against these counts.
"""

import itertools

from returns.result import Success
from testtools import TestCase

from arbutuscleat.core import Outcome, RefusalReason
from arbutuscleat.routing import DispatchErrorKind, Request
from arbutuscleat.wire.gen.ttypes import Command, ForgetClaims
from tests import guarantees
from tests.fakes import FakeEntry

FAULTS = [None, *DispatchErrorKind]
CONTROL_FAULTS = [None, "no-quorum", "lost", "dropped"]


def make_request(key="", method="POST", body=b"content", timeout=10.0, **changes):
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


def outcome_of(result):
    if isinstance(result, Success):
        return Outcome.RAN
    return result.failure().outcome


def reason_of(result):
    return None if isinstance(result, Success) else result.failure().reason


class OutcomeTest(TestCase):
    def test_every_dispatch_fault_for_every_kind_of_request(self):
        for kind, key, faults in itertools.product(
            ["POST", "GET"], ["", "k"], itertools.product(FAULTS, repeat=2)
        ):
            entry = FakeEntry()
            entry.endpoints.faults = list(faults)
            found = outcome_of(entry.router.serve(make_request(key, kind)))
            where = (kind, key, faults)
            runs = entry.endpoints.runs[key or "/x"]
            attempts = len(entry.endpoints.instances)
            if kind == "POST":
                guarantees.runs_at_most_once({where: runs})
            guarantees.not_run_is_accurate([(where, found.value)], {where: runs})
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
                outcomes.append(
                    ("k", outcome_of(entry.router.serve(make_request("k"))).value)
                )
                guarantees.not_run_is_accurate(outcomes, entry.endpoints.runs)
                guarantees.runs_at_most_once(entry.endpoints.runs)
            self.assertEqual(0, entry.admission.total_in_use())

    def test_a_refusal_before_the_claim_is_unknown_if_the_key_is_held(self):
        entry = FakeEntry()
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        entry.router.serve(make_request("k"))
        entry.has_dispatch_right = False
        self.assertEqual(
            Outcome.UNKNOWN, outcome_of(entry.router.serve(make_request("k")))
        )
        self.assertEqual(
            Outcome.NOT_RUN, outcome_of(entry.router.serve(make_request("free")))
        )
        entry.control.faults = ["no-quorum"]
        self.assertEqual(
            Outcome.UNKNOWN, outcome_of(entry.router.serve(make_request("free")))
        )

    def test_an_isolated_instance_sends_nothing(self):
        entry = FakeEntry()
        entry.has_dispatch_right = False
        for method in ("GET", "POST"):
            result = entry.router.serve(make_request(method=method))
            self.assertEqual(RefusalReason.ISOLATED, reason_of(result))
        self.assertFalse(entry.endpoints.runs)

    def test_a_lease_that_expires_between_slot_and_dispatch(self):
        entry = FakeEntry()
        checks = []
        entry.may_send = lambda instance: checks.append(instance)
        result = entry.router.serve(make_request("k"))
        self.assertEqual(Outcome.NOT_RUN, outcome_of(result))
        self.assertFalse(entry.endpoints.runs)
        self.assertIsNone(entry.control.machine.claim("portal/k"), "released")


class ClaimTest(TestCase):
    def two(self):
        first = FakeEntry()
        return first, FakeEntry(name="entry-2", peer=first)

    def test_a_resend_through_any_instance_returns_the_cached_answer(self):
        first, second = self.two()
        answer = first.router.serve(make_request("k")).unwrap()
        for entry in (first, second, first):
            self.assertEqual(answer, entry.router.serve(make_request("k")).unwrap())
        guarantees.runs_at_most_once(first.endpoints.runs)

    def test_a_resend_before_the_log_records_the_end(self):
        first, second = self.two()
        first.claim_closer.is_paused = True
        answer = first.router.serve(make_request("k")).unwrap()
        self.assertEqual(answer, second.router.serve(make_request("k")).unwrap())

    def test_a_resend_after_the_owner_has_crashed(self):
        first, second = self.two()
        first.router.serve(make_request("k"))
        first.is_cut_off = True
        result = second.router.serve(make_request("k"))
        self.assertEqual(RefusalReason.KEY_FINISHED, reason_of(result))
        self.assertEqual(Outcome.RAN, outcome_of(result))

    def test_a_resend_while_the_first_attempt_runs(self):
        first, second = self.two()
        resent = []

        def resend(req):
            first.endpoints.before_answer = lambda req: None
            resent.append(second.router.serve(make_request("k")))

        first.endpoints.before_answer = resend
        first.router.serve(make_request("k"))
        self.assertEqual(Outcome.UNKNOWN, outcome_of(resent[0]))
        guarantees.runs_at_most_once(first.endpoints.runs)

    def test_a_claim_is_never_taken_over(self):
        first, second = self.two()
        first.endpoints.faults = [DispatchErrorKind.LOST]
        first.router.serve(make_request("k"))
        for entry in (first, second, second):
            result = entry.router.serve(make_request("k"))
            self.assertEqual(Outcome.UNKNOWN, outcome_of(result))
        guarantees.runs_at_most_once(first.endpoints.runs)

    def test_a_key_reused_with_other_content_is_refused(self):
        first, second = self.two()
        first.router.serve(make_request("k"))
        for entry in (first, second):
            result = entry.router.serve(make_request("k", body=b"other"))
            self.assertEqual(RefusalReason.KEY_REUSED, reason_of(result))

    def test_a_released_key_runs_on_the_next_attempt(self):
        first, second = self.two()
        first.endpoints.faults = [DispatchErrorKind.NOT_SENT] * 2
        self.assertEqual(
            Outcome.NOT_RUN, outcome_of(first.router.serve(make_request("k")))
        )
        self.assertEqual(
            Outcome.RAN, outcome_of(second.router.serve(make_request("k")))
        )
        guarantees.runs_at_most_once(first.endpoints.runs)

    def test_an_unconfirmed_claim_never_runs_and_is_released(self):
        entry = FakeEntry()
        entry.control.faults = ["lost", "no-quorum"]
        self.assertEqual(
            Outcome.UNKNOWN, outcome_of(entry.router.serve(make_request("k")))
        )
        self.assertFalse(entry.endpoints.runs)
        entry.claim_closer.resume()
        self.assertEqual(Outcome.RAN, outcome_of(entry.router.serve(make_request("k"))))

    def test_an_old_key_never_runs_again(self):
        entry = FakeEntry()
        key = "01890a5d-ac96-774b-bcce-b302099a8057"
        entry.router.serve(make_request(key))
        horizon = Command(forget_claims=ForgetClaims(2_000_000_000_000))
        entry.control.propose(horizon, 1.0)
        self.assertEqual(0, len(entry.control.machine.claims))
        entry.answer_cache = None
        result = entry.router.serve(make_request(key))
        self.assertEqual(RefusalReason.KEY_TOO_OLD, reason_of(result))
        guarantees.runs_at_most_once(entry.endpoints.runs)


class RetryTest(TestCase):
    def test_a_request_that_always_fails_is_tried_on_two_instances(self):
        entry = FakeEntry(["w1", "w2", "w3", "w4"])
        entry.endpoints.faults = [DispatchErrorKind.LOST] * 9
        entry.router.serve(make_request(method="GET"))
        self.assertEqual(2, len(set(entry.endpoints.instances)))
        self.assertEqual(2, len(entry.endpoints.instances))

    def test_successes_refill_an_exhausted_retry_budget(self):
        entry = FakeEntry(slots=64)
        entry.outliers.may_use = lambda name: True
        while entry.retries.try_withdraw():
            pass
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        result = entry.router.serve(make_request(method="GET"))
        self.assertEqual(RefusalReason.ANSWER_LOST, reason_of(result))
        for _ in range(20):
            entry.router.serve(make_request(method="GET"))
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        self.assertEqual(
            Outcome.RAN, outcome_of(entry.router.serve(make_request(method="GET")))
        )

    def test_no_retry_after_the_deadline(self):
        entry = FakeEntry()
        entry.endpoints.faults = [DispatchErrorKind.LOST]
        entry.endpoints.before_answer = lambda req: entry.clock.advance(11)
        entry.router.serve(make_request(method="GET"))
        self.assertEqual(1, len(entry.endpoints.instances))

    def test_an_instance_that_always_fails_is_ejected_and_probed(self):
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

    def test_ejections_never_exceed_the_spare_instances(self):
        entry = FakeEntry()
        for name in ("worker-1", "worker-2"):
            for _ in range(40):
                entry.outliers.observe(name, True, lambda: 1)
        self.assertEqual(1, len(entry.outliers.ejected()))
        other = FakeEntry()
        for _ in range(40):
            other.outliers.observe("worker-1", True, lambda: 0)
        self.assertEqual([], other.outliers.ejected())


class ForwardTest(TestCase):
    def remote(self, **changes):
        first = FakeEntry(instances=())
        return first, FakeEntry(
            ["far-1"], name="entry-9", data_centre="qasim", peer=first, **changes
        )

    def test_a_request_for_another_data_centre_is_forwarded(self):
        first, second = self.remote()
        answer = first.router.serve(make_request("k")).unwrap()
        self.assertEqual("far-1", answer.instance_id)

    def test_a_lost_answer_of_a_forwarded_request_is_unknown(self):
        first, second = self.remote()
        second.is_cut_off = True
        self.assertEqual(
            Outcome.UNKNOWN, outcome_of(first.router.serve(make_request("k")))
        )
        second.is_cut_off = False
        first.router.serve(make_request("k"))
        guarantees.runs_at_most_once(first.endpoints.runs)

    def test_a_remote_refusal_is_returned_to_the_caller(self):
        first, second = self.remote()
        second.has_dispatch_right = False
        result = first.router.serve(make_request())
        self.assertEqual(RefusalReason.ISOLATED, reason_of(result))
        self.assertEqual(Outcome.NOT_RUN, outcome_of(result))

    def test_a_forwarded_request_is_not_forwarded_again(self):
        first, second = self.remote()
        result = first.router.serve_locally(make_request())
        self.assertEqual(RefusalReason.NO_INSTANCE_READY, reason_of(result))
