"""Outlier detection: instances whose requests fail are ejected for some time.

An ejected instance gets no requests until its ejection time is over.  Then single
requests are sent to it as probes: a successful probe readmits the instance, a failed
one ejects it again for twice as long, up to a limit.  The rule that detects an outlier
is an interface, so that different rules can be compared.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from arbutuscleat.core import Clock

INITIAL_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0


class FailureRule(ABC):
    """Decides from the results of one instance whether it is an outlier."""

    @abstractmethod
    def observe(self, failed: bool) -> bool:
        """Record one result; return whether the instance should be ejected."""


class SuccessRateRule(FailureRule):
    """Ejects an instance when its recent success rate is too low.

    Parameters
    ----------
    smoothing : float
        Weight of the newest result in the moving average, between 0 and 1.
    min_success_rate : float
        Success rate below which the instance is ejected, between 0 and 1.
    """

    def __init__(self, smoothing: float = 0.15, min_success_rate: float = 0.5):
        self._smoothing = smoothing
        self._min_success_rate = min_success_rate
        self._rate = 1.0

    def observe(self, failed: bool) -> bool:
        """Record one result; return whether the instance should be ejected."""
        self._rate += self._smoothing * ((0.0 if failed else 1.0) - self._rate)
        return failed and self._rate < self._min_success_rate


class ConsecutiveFailuresRule(FailureRule):
    """Ejects an instance after consecutive failures, like a circuit breaker.

    Parameters
    ----------
    limit : int
        Number of consecutive failures after which the instance is ejected.
    """

    def __init__(self, limit: int = 5):
        self._limit = limit
        self._failures = 0

    def observe(self, failed: bool) -> bool:
        """Record one result; return whether the instance should be ejected."""
        self._failures = self._failures + 1 if failed else 0
        return self._failures >= self._limit


@dataclass
class _InstanceState:
    """The state of one instance; `ejected_until` is on the monotonic clock."""

    rule: FailureRule
    ejected_until: float = float("-inf")
    ejection_seconds: float = INITIAL_EJECTION_SECONDS
    is_ejected: bool = False
    is_probing: bool = False


class OutlierDetector:
    """Ejects failing instances and readmits them after a successful probe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    make_rule : callable
        Returns the rule for an instance that is seen for the first time or readmitted.
    """

    def __init__(
        self, clock: Clock, make_rule: Callable[[], FailureRule] = SuccessRateRule
    ):
        self._clock = clock
        self._make_rule = make_rule
        self._lock = threading.Lock()
        self._states: dict[str, _InstanceState] = {}
        self._ejected: set[str] = set()

    def observe(self, instance_id: str, failed: bool, spare: Callable[[], int]) -> None:
        """Record the result of one request and eject the instance if it is an outlier.

        Parameters
        ----------
        instance_id : str
            The instance that the request was sent to.
        failed : bool
            Whether the request failed on the instance.
        spare : callable
            Returns how many instances the pool can lose.  No instance is ejected while
            that many are ejected already.
        """
        with self._lock:
            state = self._states.get(instance_id)
            if state is None:
                state = self._states[instance_id] = _InstanceState(self._make_rule())
            is_outlier = state.rule.observe(failed)
            if state.is_ejected:
                # Only a probe counts: other results belong to requests that were sent
                # before the ejection.
                if state.is_probing:
                    self._end_probe(instance_id, state, failed)
            elif is_outlier and len(self._ejected) < spare():
                state.is_ejected = True
                self._ejected.add(instance_id)
                self._eject(state)

    def may_use(self, instance_id: str) -> bool:
        """Return whether the next request may be sent to an instance."""
        if instance_id not in self._ejected:
            return True
        with self._lock:
            state = self._states[instance_id]
            return not state.is_probing and self._may_probe(state)

    def record_dispatch(self, instance_id: str) -> None:
        """Record that a request is being sent, which probes an ejected instance."""
        if instance_id not in self._ejected:
            return
        with self._lock:
            self._states[instance_id].is_probing = True

    def ejected(self) -> list[str]:
        """Return the ids of the ejected instances, sorted."""
        with self._lock:
            return sorted(self._ejected)

    def _may_probe(self, state: _InstanceState) -> bool:
        return self._clock.monotonic() >= state.ejected_until

    def _eject(self, state: _InstanceState) -> None:
        state.ejected_until = self._clock.monotonic() + state.ejection_seconds
        state.ejection_seconds = min(MAX_EJECTION_SECONDS, 2 * state.ejection_seconds)

    def _end_probe(self, instance_id: str, state: _InstanceState, failed: bool) -> None:
        state.is_probing = False
        if failed:
            self._eject(state)
            return
        self._ejected.discard(instance_id)
        self._states[instance_id] = _InstanceState(self._make_rule())
