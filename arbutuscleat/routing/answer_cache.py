"""Kept answers: what a resend of a finished request is answered with."""

import threading
from collections import OrderedDict

from .request import Answer

KEPT_BYTES = 16 * 1024 * 1024
ENTRY_BYTES = 512


class AnswerCache:
    """Answers by claim key, the oldest dropped when they grow too large."""

    def __init__(self, limit_bytes: int = KEPT_BYTES):
        self._limit_bytes = limit_bytes
        self._lock = threading.Lock()
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._bytes = 0

    def keep(self, key: str, answer: Answer) -> None:
        """Keep the answer of a finished request."""
        with self._lock:
            if key in self._answers:
                return
            self._answers[key] = answer
            self._bytes += _size(answer)
            while self._bytes > self._limit_bytes:
                _, dropped = self._answers.popitem(last=False)
                self._bytes -= _size(dropped)

    def get(self, key: str) -> Answer | None:
        """Return the answer kept under a key, or None."""
        with self._lock:
            return self._answers.get(key)


def _size(answer: Answer) -> int:
    return len(answer.body) + ENTRY_BYTES
