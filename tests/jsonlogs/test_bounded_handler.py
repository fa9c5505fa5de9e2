"""The log handler limits the rate of lines and never blocks the process."""

import io
import logging
import threading

from testtools import TestCase

from arbutuscleat.jsonlogs import BoundedHandler, LogRateLimiter


class StuckStream(io.StringIO):
    """A stream whose writes block until it is released, like a stalled reader."""

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

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        handler = self.make(stream)
        for text in ("one", "two"):
            handler.handle(record(text))
        handler.close()
        self.assertEqual("one\ntwo\n", stream.getvalue())

    def test_a_stalled_reader_does_not_block_callers(self):
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

    def test_the_number_of_dropped_lines_is_logged(self):
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

    def test_a_line_that_cannot_be_formatted_does_not_end_the_log(self):
        """Guards against a process that logs nothing after one wrong call."""
        stream = io.StringIO()
        handler = self.make(stream)
        wrong = record("%d lines")
        wrong.args = ("some",)
        handler.handle(wrong)
        handler.handle(record("later"))
        handler.close()
        lines = stream.getvalue().splitlines()
        self.assertIn("later", lines)
        self.assertEqual(1, len([line for line in lines if "b.py:1" in line]))

    def test_a_burst_from_one_call_site_is_limited_and_counted(self):
        stream = io.StringIO()
        handler = self.make(stream, lines=2)
        for number in range(5):
            handler.handle(record(f"flood {number}"))
        handler.handle(record("other call site", lineno=9))
        self.now = 6.0
        handler.handle(record("next second"))
        handler.close()
        lines = stream.getvalue().splitlines()
        self.assertEqual(["flood 0", "flood 1", "other call site"], lines[:3])
        self.assertEqual("3 lines of b.py:1 suppressed in one second", lines[3])
        self.assertEqual("next second", lines[4])
        self.assertEqual(3, handler.suppressed)
