"""The answer cache: answers of finished requests, for resends of the same request."""

import threading
from collections import OrderedDict

from .request import Answer

MAX_CACHE_BYTES = 16 * 1024 * 1024
ENTRY_OVERHEAD_BYTES = 512
"""Added to the body size of each answer for its headers and bookkeeping."""


class AnswerCache:
    """A cache of answers by claim key that evicts the oldest entries first.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the cached answers in bytes.
    """

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES):
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._bytes = 0

    def put(self, key: str, answer: Answer) -> None:
        """Cache the answer of a finished request; an existing entry is not replaced."""
        with self._lock:
            if key in self._answers:
                return
            self._answers[key] = answer
            self._bytes += _size(answer)
            while self._bytes > self._max_bytes:
                _, evicted = self._answers.popitem(last=False)
                self._bytes -= _size(evicted)

    def get(self, key: str) -> Answer | None:
        """Return the answer cached under a claim key, or None."""
        with self._lock:
            return self._answers.get(key)


def _size(answer: Answer) -> int:
    """Return the estimated size of an answer in bytes."""
    return len(answer.body) + ENTRY_OVERHEAD_BYTES
