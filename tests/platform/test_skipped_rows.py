"""Rows that are skipped: counted, and logged a bounded number of times."""

from unittest import mock

from berthline.fields import FormatError
from berthline.skipped_rows import LINES_PER_SECOND, SkippedRows
from testtools import TestCase


class SkippedRowsTest(TestCase):
    def test_lines_are_limited_for_each_kind_and_all_rows_are_counted(self):
        now = [1.0]
        rows = SkippedRows(lambda: now[0])
        with mock.patch("absl.logging.warning") as warning:
            for number in range(50):
                rows.note("machine list", number, FormatError("pool: not a string"))
            rows.note("running list", 0, FormatError("row: not a list"))
            self.assertEqual(LINES_PER_SECOND + 1, warning.call_count)
            now[0] += 1.0
            rows.note("machine list", 3, FormatError("pool: not a string"))
        message, *args = warning.call_args.args
        self.assertEqual(
            "machine list: skipped row 3: pool: not a string", message % tuple(args)
        )
        self.assertEqual(
            {
                'rows_skipped{kind="machine list"}': 51,
                'rows_skipped{kind="running list"}': 1,
            },
            rows.gauges(),
        )
