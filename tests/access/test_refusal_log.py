"""Tests of the log lines of refused jobs."""

import logging as standard_logging

from testtools import TestCase

from arbutuscleat.access.refusal_log import LINES_PER_SECOND, RefusalLog
from arbutuscleat.scheduling import Rejection
from tests.fakes import ManualClock


class RefusalLogTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.log = RefusalLog(self.clock)
        self.lines = []
        handler = standard_logging.Handler()
        handler.emit = lambda record: self.lines.append(record.getMessage())
        logger = standard_logging.getLogger("absl")
        level = logger.level
        logger.addHandler(handler)
        logger.setLevel(standard_logging.INFO)
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(logger.setLevel, level)

    def record(self, team, count):
        for number in range(count):
            self.log.record(f"{number:016x}", "approvals", team, Rejection("x", 1_000))

    def test_a_flood_of_one_team_displaces_no_line_of_another(self):
        self.record("mills", LINES_PER_SECOND + 57)
        self.record("docks", 1)
        self.assertEqual(LINES_PER_SECOND + 1, len(self.lines))
        self.assertIn(
            "queue approvals, team docks refused: x; retry after 1000 ms",
            self.lines[-1],
        )
        self.clock.advance(1.0)
        self.record("docks", 1)
        self.assertIn("57 refused jobs of team mills not logged", self.lines)

    def test_without_teams_each_refusal_is_logged_as_before(self):
        self.record(None, 100)
        expected = "job 0000000000000063 of queue approvals refused: x; "
        self.assertEqual(100, len(self.lines))
        self.assertEqual(expected + "retry after 1000 ms", self.lines[-1])
