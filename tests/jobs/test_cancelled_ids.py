"""How many cancelled ids without a job are kept, and for how long."""

from unittest import mock

from testtools import TestCase

from arbutuscleat.jobs import CancelledIds, JobOwner, cancelled_ids
from arbutuscleat.jobs.cancelled_ids import CANCELLED_IDS_KEPT_MS, MIN_KEPT_MS
from tests.fakes.jobs import JOB, job

OWNER = JobOwner("berth.example", "/approvals/", "berths")
OTHERS = JobOwner("berth.example", "/approvals/", "ledger")
NOW_MS = 5_000_000


def submitted(at_ms, owner=OWNER):
    """Return the job, as it is submitted by an owner."""
    record = job(host=owner.host, path_prefix=owner.path_prefix, team=owner.team)
    record.accepted_at_ms = at_ms
    return record


class CancelledIdsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.ids = CancelledIds()

    def add(self, number, owner=OWNER, now_ms=NOW_MS):
        return self.ids.add(owner, f"{number:016x}", now_ms)

    def test_an_id_is_kept_for_a_time(self):
        self.assertTrue(self.ids.add(OWNER, JOB, NOW_MS))
        last_ms = NOW_MS + CANCELLED_IDS_KEPT_MS - 1
        self.assertTrue(self.ids.refuses(submitted(last_ms)))
        self.assertFalse(self.ids.refuses(submitted(last_ms + 1)))

    def test_an_id_that_is_cancelled_again_late_is_kept_anew(self):
        """Guards against a promise that ends right after its answer."""
        self.ids.add(OWNER, JOB, NOW_MS)
        late_ms = NOW_MS + CANCELLED_IDS_KEPT_MS - MIN_KEPT_MS
        self.assertTrue(self.ids.is_kept(OWNER, JOB, late_ms))
        self.assertFalse(self.ids.is_kept(OWNER, JOB, late_ms + 1))
        self.ids.add(OWNER, JOB, late_ms + 1)
        self.assertEqual(1, len(self.ids))
        self.assertTrue(self.ids.refuses(submitted(late_ms + CANCELLED_IDS_KEPT_MS)))

    def test_each_owner_has_ids_of_its_own(self):
        self.ids.add(OWNER, JOB, NOW_MS)
        elsewhere = JobOwner(OWNER.host, "/invoices/", OWNER.team)
        for other in (OTHERS, elsewhere):
            self.assertFalse(self.ids.refuses(submitted(NOW_MS, other)))
        public = JobOwner(OWNER.host, OWNER.path_prefix, None)
        self.assertTrue(self.ids.refuses(submitted(NOW_MS, public)))

    def test_an_owner_that_cancels_without_end_leaves_room_to_others(self):
        """Guards against a table that any client fills for everyone."""
        with mock.patch.object(cancelled_ids, "MAX_CANCELLED_IDS", 100):
            added = [self.add(number) for number in range(1_000)]
            self.assertEqual([True] * 50 + [False] * 950, added)
            self.assertTrue(self.add(0))
            self.assertEqual(25, sum(self.add(n, OTHERS) for n in range(1_000)))
            self.assertEqual(75, len(self.ids))

    def test_there_is_room_again_once_the_earliest_ids_are_over(self):
        with mock.patch.object(cancelled_ids, "MAX_CANCELLED_IDS", 4):
            self.add(1)
            self.add(2, now_ms=NOW_MS + 1_000)
            now_ms = NOW_MS + 2_000
            self.assertFalse(self.ids.has_room(OWNER, JOB, now_ms))
            now_ms += self.ids.retry_after_ms(now_ms)
            self.assertEqual(NOW_MS + CANCELLED_IDS_KEPT_MS, now_ms)
            self.assertTrue(self.ids.has_room(OWNER, JOB, now_ms))
            self.assertTrue(self.ids.add(OWNER, JOB, now_ms))
            self.assertEqual(2, len(self.ids))

    def test_a_snapshot_holds_the_ids(self):
        self.add(1)
        self.add(2, OTHERS, NOW_MS + 1)
        restored = CancelledIds()
        restored.restore(self.ids.to_images())
        self.assertEqual(self.ids.to_images(), restored.to_images())
