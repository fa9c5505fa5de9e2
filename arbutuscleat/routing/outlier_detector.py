"""OutlierDetector: instances that fail what they start get no work for a while.

The rule is an interface, so that others can be measured against it.  An instance
that is taken out comes back by probes: one request at a time, until one succeeds.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from arbutuscleat.core import Clock

FIRST_EJECTION_SECONDS = 2.0
LONGEST_EJECTION_SECONDS = 60.0


class FailureRule(ABC):
    """Decides from the results of one instance whether it is an outlier."""

    @abstractmethod
    def observe(self, failed: bool) -> bool:
        """Take one result; return whether the instance is to be taken out."""


class SuccessRateRule(FailureRule):
    """Takes out an instance whose recent success rate is low.

    Parameters
    ----------
    smoothing : float
        Weight of the newest result.
    lowest : float
        Success rate below which the instance is taken out.
    """

    def __init__(self, smoothing: float = 0.15, lowest: float = 0.5):
        self._smoothing = smoothing
        self._lowest = lowest
        self._rate = 1.0

    def observe(self, failed: bool) -> bool:
        """Take one result; return whether the instance is to be taken out."""
        self._rate += self._smoothing * ((0.0 if failed else 1.0) - self._rate)
        return failed and self._rate < self._lowest


class ConsecutiveFailuresRule(FailureRule):
    """Takes out an instance after some failures in a row, as a circuit breaker.

    Parameters
    ----------
    limit : int
        Failures in a row.
    """

    def __init__(self, limit: int = 5):
        self._limit = limit
        self._failures = 0

    def observe(self, failed: bool) -> bool:
        """Take one result; return whether the instance is to be taken out."""
        self._failures = self._failures + 1 if failed else 0
        return self._failures >= self._limit


@dataclass
class _Record:
    """What is known of one instance."""

    rule: FailureRule
    ejected_until: float = float("-inf")
    ejection_seconds: float = FIRST_EJECTION_SECONDS
    is_out: bool = False
    is_probing: bool = False


class OutlierDetector:
    """Which instances are taken out at the moment.

    Parameters
    ----------
    clock : Clock
        Source of time.
    make_rule : callable
        Returns a rule for a new instance.
    """

    def __init__(
        self, clock: Clock, make_rule: Callable[[], FailureRule] = SuccessRateRule
    ):
        self._clock = clock
        self._make_rule = make_rule
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}
        self._out: set[str] = set()

    def observe(self, instance_id: str, failed: bool, spare: Callable[[], int]) -> None:
        """Take the result of one request.

        Parameters
        ----------
        instance_id : str
            Where it ran.
        failed : bool
            Whether the instance failed it.
        spare : callable
            Returns how many instances its pool can do without; no more are taken
            out.
        """
        with self._lock:
            record = self._records.get(instance_id)
            if record is None:
                record = self._records[instance_id] = _Record(self._make_rule())
            is_outlier = record.rule.observe(failed)
            if record.is_out:
                # What was under way when it was taken out says nothing new.
                if record.is_probing:
                    self._end_probe(instance_id, record, failed)
            elif is_outlier and len(self._out) < spare():
                record.is_out = True
                self._out.add(instance_id)
                self._eject(record)

    def may_use(self, instance_id: str) -> bool:
        """Return whether an instance may get the next request."""
        if instance_id not in self._out:
            return True
        with self._lock:
            record = self._records[instance_id]
            return not record.is_probing and self._is_due(record)

    def record_dispatch(self, instance_id: str) -> None:
        """Note that a request is being sent; to an outlier it is the probe."""
        if instance_id not in self._out:
            return
        with self._lock:
            self._records[instance_id].is_probing = True

    def ejected(self) -> list[str]:
        """Return the instances that are taken out."""
        with self._lock:
            return sorted(self._out)

    def _is_due(self, record: _Record) -> bool:
        return self._clock.monotonic() >= record.ejected_until

    def _eject(self, record: _Record) -> None:
        record.ejected_until = self._clock.monotonic() + record.ejection_seconds
        record.ejection_seconds = min(
            LONGEST_EJECTION_SECONDS, 2 * record.ejection_seconds
        )

    def _end_probe(self, instance_id: str, record: _Record, failed: bool) -> None:
        record.is_probing = False
        if failed:
            self._eject(record)
            return
        self._out.discard(instance_id)
        self._records[instance_id] = _Record(self._make_rule())
