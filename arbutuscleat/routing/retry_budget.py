"""The retry budget: retries are a share of recent successes.

When everything fails, retries would only add to the load; the budget then runs
dry.
"""

import threading

EARNED_PER_SUCCESS = 0.1
MAX_SAVED = 20.0


class RetryBudget:
    """Tokens earned by successes and spent by retries.

    Examples
    --------
    >>> budget = RetryBudget(saved=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, saved: float = MAX_SAVED):
        self._lock = threading.Lock()
        self._saved = saved

    def earn(self) -> None:
        """Note a success."""
        with self._lock:
            self._saved = min(MAX_SAVED, self._saved + EARNED_PER_SUCCESS)

    def take(self) -> bool:
        """Spend a token on a retry; return whether there was one."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
