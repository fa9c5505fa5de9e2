"""Control links: calls to the leader, wherever it is.

A process knows the seeds of its settings and the members that control instances
have told it of.  A call goes to the leader as far as known; a member that does not
lead names the one that does.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from absl import logging
from returns.result import Success

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.wire import Address, ChannelPool, Credentials
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import LocateRequest, Verdict

PAUSE_SECONDS = 0.03
"""Between two tries: half of what an election's round takes at least."""

CALL_SECONDS = 0.6
"""Time limit of one try: a commit takes some milliseconds, a worker or operator
waits for a second."""

CONNECT_SECONDS = 0.3
"""Time limit of a new connection: a dozen trips between regions."""

AVOID_SECONDS = 2.0
"""How long a host without an answer is asked after all others."""

_ELSEWHERE = (Verdict.NOT_LEADER, Verdict.NO_QUORUM)


@dataclass(frozen=True)
class CallOutcome:
    """What became of a call.

    Parameters
    ----------
    answer : object or None
        The answer of the leader; None when none came.
    sent : bool
        Whether a try without an answer may have reached a leader.
    """

    answer: Any
    sent: bool


class LeaderClient:
    """Calls to the leader of the consensus group.

    Parameters
    ----------
    read_seeds : callable
        Returns the hosts that the settings name now.
    port : int
        The port on which every control instance serves our own processes.
    credentials : Credentials
        What this process presents.
    clock : Clock
        Source of time.
    local : object, optional
        The service of this very process, asked first when it leads.
    leader_hint : callable, optional
        Returns the leader that this very process follows; empty when it has none.
    """

    def __init__(
        self,
        read_seeds: Callable[[], Sequence[str]],
        port: int,
        credentials: Credentials,
        clock: Clock,
        local: Any = None,
        leader_hint: Callable[[], str] = lambda: "",
    ):
        self._read_seeds = read_seeds
        self._port = port
        self._credentials = credentials
        self._clock = clock
        self._local = local
        self._leader_hint = leader_hint
        self._avoided: dict[str, float] = {}
        self._lock = threading.Lock()
        self._pools: dict[str, ChannelPool] = {}
        self._members: list[str] = list(read_seeds())
        self._leader = ""
        self._named = ""
        self._heard_at = clock.monotonic()

    def call(self, method: str, request: Any, seconds: float) -> CallOutcome:
        """Return the leader's answer to `request` within `seconds`.

        A call may be tried more than once, so `request` must be idempotent.
        """
        deadline = Deadline.after(self._clock, seconds)
        sent = False
        tried: set[str] = set()
        while True:
            if self._local is not None and self._local.leads():
                answer = getattr(self._local, method)(request)
                if answer.verdict not in _ELSEWHERE:
                    return CallOutcome(answer, sent)
            target = self._choose(tried)
            tried.add(target)
            limit = min(CALL_SECONDS, max(0.05, deadline.remaining()))
            result = self._pool(target).call(method, request, limit)
            if isinstance(result, Success):
                answer = result.unwrap()
                if answer.verdict not in _ELSEWHERE:
                    self._note_leader(target)
                    return CallOutcome(answer, sent)
                self._note_leader(answer.leader if answer.leader != target else "")
            else:
                sent = sent or result.failure().sent()
                self._avoid(target, result.failure().detail)
            if deadline.expired():
                return CallOutcome(None, sent)
            if self._leader in tried or not self._leader:
                self._clock.sleep(threading.Event(), PAUSE_SECONDS)

    def refresh(self) -> bool:
        """Ask for leader and members; return whether a leader is known."""
        self._read_settings()
        for host in self._candidates():
            result = self._pool(host).call("locate", LocateRequest(), CALL_SECONDS)
            if not isinstance(result, Success):
                self._avoid(host, result.failure().detail)
                continue
            answer = result.unwrap()
            with self._lock:
                self._members = list(answer.members) or self._members
            if answer.leader:
                self._note_leader(answer.leader)
                return True
        return False

    def seconds_without_leader(self) -> float:
        """Return how long no leader has answered or been named."""
        return self._clock.monotonic() - self._heard_at

    def is_cut_off(self) -> bool:
        """Return whether fewer than half of the control instances answer.

        Then no leader is to be found from here, while others may well have one.
        """
        now = self._clock.monotonic()
        with self._lock:
            hosts = list(self._members)
        silent = sum(self._avoided.get(host, 0.0) > now for host in hosts)
        return 2 * silent > len(hosts)

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def _choose(self, tried: set[str]) -> str:
        hint = self._leader_hint()
        if hint and hint not in tried and hint != self._credentials.node_id:
            return hint
        with self._lock:
            if self._leader and self._leader not in tried:
                return self._leader
        found = self._candidates()
        fresh = [host for host in found if host not in tried]
        if not fresh:
            tried.clear()
            self._read_settings()
            fresh = found
        return fresh[0]

    def _candidates(self) -> list[str]:
        with self._lock:
            hosts = [self._leader] if self._leader else []
            hosts += [host for host in self._members if host not in hosts]
        hosts += [host for host in self._read_seeds() if host not in hosts]
        own = self._credentials.node_id
        now = self._clock.monotonic()
        hosts = [host for host in hosts if host != own] or hosts
        hosts.sort(key=lambda host: max(0.0, self._avoided.get(host, 0.0) - now))
        return hosts

    def _avoid(self, host: str, reason: str) -> None:
        now = self._clock.monotonic()
        if self._avoided.get(host, 0.0) < now:
            logging.info("%s does not answer: %s", host, reason)
        self._avoided[host] = now + AVOID_SECONDS
        with self._lock:
            if self._leader == host:
                self._leader = ""

    def _read_settings(self) -> None:
        with self._lock:
            for host in self._read_seeds():
                if host not in self._members:
                    self._members.append(host)

    def _note_leader(self, host: str) -> None:
        with self._lock:
            self._leader = host
            if host and host != self._named:
                logging.info("control is led by %s, formerly %s", host, self._named)
                self._named = host
            if host:
                self._heard_at = self._clock.monotonic()

    def _pool(self, host: str) -> ChannelPool:
        with self._lock:
            pool = self._pools.get(host)
            if pool is None:
                address = Address(host, self._port)
                pool = ChannelPool(
                    JobControl.Client, address, self._credentials, CONNECT_SECONDS
                )
                self._pools[host] = pool
            return pool
