"""Bounded handlers: log lines handed to a task that writes them.

The caller never waits for the reader of the logs.  What does not fit into the queue is
dropped and counted; the count is written as soon as there is room again.
"""

import logging
import queue
import threading
from collections.abc import Callable
from typing import TextIO

from .rate_limiter import LogRateLimiter

MAX_WAITING = 2_000
"""Lines that wait to be written: some 400 KB, and seconds of ordinary logs."""

FLUSH_SECONDS = 1.0
"""How long the end of the process waits for lines to be written."""


class BoundedHandler(logging.Handler):
    """Writes records as lines, in a task of its own.

    Parameters
    ----------
    stream : text file
        Where lines go.
    monotonic : callable
        Steady seconds, for the limit.
    limit : LogRateLimiter
        Lines that one place in the code may write.
    max_waiting : int
        Lines that may wait.
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
        self._told = 0
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)

    def start(self) -> None:
        """Start to write."""
        self._thread.start()

    def close(self) -> None:
        """Write what waits, for a bounded time, and stop."""
        try:
            self._queue.put(None, timeout=FLUSH_SECONDS)
            if self._thread.is_alive():
                self._thread.join(FLUSH_SECONDS)
        except queue.Full:
            self.dropped += self._queue.qsize()
        super().close()

    def emit(self, record: logging.LogRecord) -> None:
        """Hand a record over; the handler's lock is held."""
        place = (record.filename, record.lineno)
        admitted, suppressed = self._limit.admit(place, self._monotonic())
        for (filename, lineno), count in suppressed.items():
            self.suppressed += count
            text = f"{count} lines of {filename}:{lineno} left out in a second"
            self._put(self._note(record, text))
        if admitted:
            self._put(record)

    def _put(self, record: logging.LogRecord) -> None:
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped > self._told:
            count, self._told = self.dropped - self._told, self.dropped
            self._put(
                self._note(record, f"{count} lines were dropped: the log is full")
            )

    def _note(self, record: logging.LogRecord, text: str) -> logging.LogRecord:
        return logging.LogRecord(
            record.name, logging.WARNING, __file__, 0, text, None, None
        )

    def _write(self) -> None:
        while True:
            record = self._queue.get()
            if record is None:
                return
            try:
                self._stream.write(self.format(record) + "\n")
                if self._queue.empty():
                    self._stream.flush()
            except OSError:
                self.dropped += 1  # The reader is gone: nowhere to write to.
