"""The retry budget: limits retries to a fraction of recent successes.

When most requests fail, retries would only add to the load.  The budget is then soon
used up and no request is retried until others succeed again.
"""

import threading

TOKENS_PER_SUCCESS = 0.1
MAX_TOKENS = 20.0


class RetryBudget:
    """A token bucket that successes fill and retries drain.

    Parameters
    ----------
    tokens : float
        Number of retries allowed at the start.

    Examples
    --------
    >>> budget = RetryBudget(tokens=1.0)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, tokens: float = MAX_TOKENS):
        self._lock = threading.Lock()
        self._tokens = tokens

    def deposit(self) -> None:
        """Add the tokens of one success."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_SUCCESS)

    def try_withdraw(self) -> bool:
        """Withdraw a token for one retry; return whether one was available."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
