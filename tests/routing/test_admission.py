"""Tests of admission control: slot limits, the bounded queue and early refusals."""

import threading
from dataclasses import replace

from returns.result import Failure, Success
from testtools import TestCase

from arbutuscleat.core import Deadline, RefusalReason, SystemClock
from arbutuscleat.routing import AdmissionController, RunTimes, SlotOffer
from tests.fakes import ManualClock, make_instance
from tests.routing.test_fault_matrix import make_request

WAIT_SECONDS = 20.0


class AdmissionTest(TestCase):
    def make_admission(self, clock, queue_length=2, slots=2):
        self.offer = SlotOffer(make_instance("w1"), slots)
        self.limits = {"w1": slots}
        self.admission = AdmissionController(
            clock,
            RunTimes(),
            queue_length,
            lambda offer: self.limits[offer.instance.instance_id],
            lambda: 0.0,
        )
        self.clock = clock
        return self.admission

    def acquire(self, seconds=5.0, req=None):
        deadline = Deadline.after(self.clock, seconds)
        return self.admission.acquire(
            req or make_request(), lambda: [self.offer], deadline
        )

    def test_the_limit_bounds_the_slots_in_use(self):
        self.make_admission(ManualClock())
        taken = [self.acquire().unwrap() for _ in range(2)]
        self.assertIsInstance(self.acquire(), Failure)
        self.admission.release(taken[0])
        self.assertIsInstance(self.acquire(), Success)

    def test_a_lower_limit_takes_effect_at_once(self):
        self.make_admission(ManualClock())
        slot = self.acquire().unwrap()
        self.limits["w1"] = 1
        self.assertIsInstance(self.acquire(), Failure)
        self.admission.release(slot)
        self.assertIsInstance(self.acquire(), Success)

    def test_a_request_that_would_miss_its_deadline_is_refused_at_once(self):
        self.make_admission(ManualClock())
        for _ in range(2):
            self.acquire()
        for _ in range(100):
            self.admission.run_times.observe("portal", 30.0)
        before = self.clock.monotonic()
        refusal = self.acquire(seconds=1.0).failure()
        self.assertEqual(RefusalReason.DEADLINE, refusal.reason)
        self.assertEqual(before, self.clock.monotonic(), "refused without waiting")
        self.assertGreater(refusal.retry_after, 1.0)

    def start_waiters(self, number, req=None):
        results = []
        threads = [
            threading.Thread(
                target=lambda: results.append(self.acquire(WAIT_SECONDS, req)),
                daemon=True,
            )
            for _ in range(number)
        ]
        for thread in threads:
            thread.start()
        while self.admission.waiting("portal") < number:
            pass
        return threads, results

    def test_a_full_queue_refuses_at_once(self):
        self.make_admission(SystemClock())
        taken = [self.acquire().unwrap() for _ in range(2)]
        threads, results = self.start_waiters(2)
        self.assertEqual(RefusalReason.POOL_FULL, self.acquire().failure().reason)
        for slot in taken:
            self.admission.release(slot)
        for thread in threads:
            thread.join(WAIT_SECONDS)
        self.assertEqual([Success] * 2, [type(result) for result in results])

    def test_an_urgent_request_goes_first_and_displaces_the_last_one(self):
        self.make_admission(SystemClock(), slots=1)
        slot = self.acquire().unwrap()
        threads, results = self.start_waiters(2)
        urgent = replace(make_request(), labels={"urgent": "true"})
        urgent_results = []
        urgent_thread = threading.Thread(
            target=lambda: urgent_results.append(self.acquire(WAIT_SECONDS, urgent)),
            daemon=True,
        )
        urgent_thread.start()
        while not results:
            pass
        self.assertEqual(RefusalReason.POOL_FULL, results[0].failure().reason)
        self.admission.release(slot)
        urgent_thread.join(WAIT_SECONDS)
        self.assertIsInstance(urgent_results[0], Success)
        self.assertEqual(1, self.admission.waiting("portal"))
        self.admission.release(urgent_results[0].unwrap())
        for thread in threads:
            thread.join(WAIT_SECONDS)
        self.assertIsInstance(results[1], Success)

    def test_urgent_requests_do_not_displace_each_other(self):
        self.make_admission(SystemClock(), slots=1)
        slot = self.acquire().unwrap()
        urgent = replace(make_request(), labels={"urgent": "true"})
        threads, results = self.start_waiters(2, urgent)
        refused = self.acquire(5.0, urgent).failure()
        self.assertEqual(RefusalReason.POOL_FULL, refused.reason)
        for number in range(2):
            self.admission.release(slot)
            while len(results) <= number:
                pass
            slot = results[number].unwrap()

    def test_a_caller_that_disconnects_leaves_the_queue(self):
        self.make_admission(SystemClock())
        for _ in range(2):
            self.acquire()
        disconnected = threading.Event()
        req = replace(make_request(), is_abandoned=disconnected.is_set)
        threads, results = self.start_waiters(2, req)
        disconnected.set()
        for thread in threads:
            thread.join(WAIT_SECONDS)
        self.assertEqual(0, self.admission.waiting("portal"))
        reasons = {result.failure().reason for result in results}
        self.assertEqual({RefusalReason.ABANDONED}, reasons)

    def test_without_a_ready_instance_requests_are_refused_at_once(self):
        self.make_admission(ManualClock())
        self.limits["w1"] = 0
        reason = self.acquire().failure().reason
        self.assertEqual(RefusalReason.NO_INSTANCE_READY, reason)
