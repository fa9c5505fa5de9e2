from testtools import TestCase

from arbutuscleat.consensus.frames import DamagedFileError
from arbutuscleat.consensus.log import Log
from arbutuscleat.wire.gen.ttypes import EntryKind, LogEntry
from tests.fakes import MemoryDisk


def entry(index, term):
    payload = f"{index}@{term}".encode()
    return LogEntry(index=index, term=term, kind=EntryKind.COMMAND, payload=payload)


def write(log):
    batch = log.unsynced()
    log.write(batch)
    log.mark_synced(batch)


class LogTest(TestCase):
    def setUp(self):
        super().setUp()
        self.disk = MemoryDisk()
        self.log = Log(self.disk, 0, 0)
        for index in range(1, 6):
            self.log.append(entry(index, 1))
        write(self.log)

    def reopened(self, base=0, term=0):
        return Log(self.disk.copy(), base, term)

    def test_survives_a_restart(self):
        self.assertEqual(5, self.reopened().last_index)
        self.assertEqual(b"3@1", self.reopened().entry(3).payload)

    def test_unsynced_entries_do_not_survive(self):
        self.log.append(entry(6, 1))
        self.assertEqual(5, self.reopened().last_index)

    def test_a_replaced_suffix_stays_replaced_after_a_restart(self):
        self.log.replace_after(3, [entry(4, 2)])
        write(self.log)
        found = self.reopened()
        self.assertEqual((4, 2), (found.last_index, found.last_term))

    def test_unsynced_entries_are_written_with_later_ones(self):
        self.log.append(entry(6, 1))
        self.log.replace_after(6, [entry(7, 2)])
        write(self.log)
        self.assertEqual(7, self.reopened().last_index)

    def test_compaction_keeps_the_suffix(self):
        self.log.rewrite(self.log.compact(3))
        found = self.reopened(3, 1)
        self.assertEqual((3, 5), (found.base_index, found.last_index))
        self.assertIsNone(found.entry(3))

    def test_entries_after_a_compaction_of_unsynced_ones_survive_a_restart(self):
        """Guards against a batch that starts before the log does."""
        self.log.append(entry(6, 1))
        self.log.append(entry(7, 1))
        self.log.rewrite(self.log.compact(7))
        self.log.append(entry(8, 1))
        write(self.log)
        self.assertEqual(8, self.reopened(7, 1).last_index)

    def test_a_snapshot_newer_than_the_file_wins(self):
        found = self.reopened(9, 2)
        self.assertEqual(
            (9, 9, 2), (found.base_index, found.last_index, found.last_term)
        )

    def test_a_log_that_starts_after_the_snapshot_is_reported_as_damage(self):
        self.log.rewrite(self.log.compact(3))
        self.assertRaises(DamagedFileError, self.reopened, 2, 1)

    def test_a_torn_append_is_truncated(self):
        self.log.append(entry(6, 1))
        self.disk.fail_at, self.disk.fault = 1, "torn"
        self.assertRaises(OSError, write, self.log)
        self.assertEqual(5, self.reopened().last_index)
