"""A log handler with a bounded queue and a background writer thread.

The calling thread never waits for the reader of the logs.  Lines that do not fit into
the queue are dropped and counted; the count is logged as soon as there is room again.
"""

import logging
import queue
import threading
from collections.abc import Callable
from typing import TextIO

from .rate_limiter import LogRateLimiter

MAX_WAITING = 2_000
"""Capacity of the queue in lines: about 400 KB, several seconds of normal logging."""

FLUSH_SECONDS = 1.0
"""How long closing the handler waits for the queued lines to be written."""


class BoundedHandler(logging.Handler):
    """Log handler that writes records on a background thread.

    Parameters
    ----------
    stream : text file
        Receives one line for each record.
    monotonic : callable
        Returns the seconds of a monotonic clock, for the rate limit.
    limit : LogRateLimiter
        Limits the lines of each call site.
    max_waiting : int
        Capacity of the queue in lines.

    Attributes
    ----------
    dropped : int
        Number of lines lost because the queue was full or writing failed.
    suppressed : int
        Number of lines suppressed by the rate limit.
    """

    def __init__(
        self,
        stream: TextIO,
        monotonic: Callable[[], float],
        limit: LogRateLimiter,
        max_waiting: int = MAX_WAITING,
    ):
        super().__init__()
        self._stream = stream
        self._monotonic = monotonic
        self._limit = limit
        self._queue: queue.Queue[logging.LogRecord | None] = queue.Queue(max_waiting)
        self.dropped = 0
        self.suppressed = 0
        self._reported_dropped = 0
        self._thread = threading.Thread(
            target=self._write_lines, name="logs", daemon=True
        )

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop after writing the queued lines, waiting a bounded time for that."""
        try:
            self._queue.put(None, timeout=FLUSH_SECONDS)
            if self._thread.is_alive():
                self._thread.join(FLUSH_SECONDS)
        except queue.Full:
            self.dropped += self._queue.qsize()
        super().close()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record unless its call site exceeds the rate limit.

        `logging` calls this with the handler's lock held.
        """
        call_site = (record.filename, record.lineno)
        admitted, suppressed = self._limit.admit(call_site, self._monotonic())
        for (filename, lineno), count in suppressed.items():
            self.suppressed += count
            text = f"{count} lines of {filename}:{lineno} suppressed in one second"
            self._enqueue(self._warning(record, text))
        if admitted:
            self._enqueue(record)

    def _enqueue(self, record: logging.LogRecord) -> None:
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped > self._reported_dropped:
            count, self._reported_dropped = (
                self.dropped - self._reported_dropped,
                self.dropped,
            )
            self._enqueue(
                self._warning(record, f"{count} lines dropped: the log queue is full")
            )

    def _warning(self, record: logging.LogRecord, text: str) -> logging.LogRecord:
        return logging.LogRecord(
            record.name, logging.WARNING, __file__, 0, text, None, None
        )

    def _write_lines(self) -> None:
        while True:
            record = self._queue.get()
            if record is None:
                return
            try:
                line = self.format(record)
            except Exception as exc:  # The arguments may not fit the text.
                place = f"{record.filename}:{record.lineno}"
                text = f"a line of {place} cannot be formatted: {exc!r}"
                line = self.format(self._warning(record, text))
            try:
                self._stream.write(line + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except OSError:
                self.dropped += 1  # The reader has closed the stream.
