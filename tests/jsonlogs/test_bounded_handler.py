"""Logs that are bounded and never hold up the process."""

import io
import logging
import threading

from testtools import TestCase

from arbutuscleat.jsonlogs import BoundedHandler, LogRateLimiter


class StuckStream(io.StringIO):
    """A reader that does not read until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()
        self.entered = threading.Event()

    def write(self, text):
        self.entered.set()
        self.released.wait(10.0)
        return super().write(text)


def record(text, lineno=1):
    return logging.LogRecord("x", logging.INFO, "/a/b.py", lineno, text, None, None)


class HandlerTest(TestCase):
    def make(self, stream, lines=1_000, **options):
        handler = BoundedHandler(
            stream, lambda: self.now, LogRateLimiter(lines), **options
        )
        handler.start()
        return handler

    def setUp(self):
        super().setUp()
        self.now = 5.0

    def test_lines_come_out_in_order(self):
        stream = io.StringIO()
        handler = self.make(stream)
        for text in ("one", "two"):
            handler.handle(record(text))
        handler.close()
        self.assertEqual("one\ntwo\n", stream.getvalue())

    def test_a_reader_that_does_not_read_holds_up_nobody(self):
        stream = StuckStream()
        handler = self.make(stream, max_waiting=3)
        handler.handle(record("first"))
        self.assertTrue(stream.entered.wait(10.0))
        for number in range(10):
            handler.handle(record(f"line {number}"))
        self.assertEqual(7, handler.dropped)
        stream.released.set()
        handler.close()
        self.assertEqual(4, stream.getvalue().count("\n"))

    def test_what_was_dropped_is_told(self):
        stream = StuckStream()
        handler = self.make(stream, max_waiting=2)
        handler.handle(record("first"))
        self.assertTrue(stream.entered.wait(10.0))
        for number in range(5):
            handler.handle(record(f"line {number}"))
        stream.released.set()
        while not handler._queue.empty():
            pass
        handler.handle(record("later"))
        handler.close()
        self.assertIn("3 lines dropped", stream.getvalue())

    def test_a_flood_from_one_place_is_cut_and_counted(self):
        stream = io.StringIO()
        handler = self.make(stream, lines=2)
        for number in range(5):
            handler.handle(record(f"flood {number}"))
        handler.handle(record("other place", lineno=9))
        self.now = 6.0
        handler.handle(record("next second"))
        handler.close()
        lines = stream.getvalue().splitlines()
        self.assertEqual(["flood 0", "flood 1", "other place"], lines[:3])
        self.assertEqual("3 lines of b.py:1 suppressed in one second", lines[3])
        self.assertEqual("next second", lines[4])
        self.assertEqual(3, handler.suppressed)
