"""A client that finds the leading control instance and calls it.

A process knows the seeds in its settings and the members that control instances have
reported.  A call goes to the last known leader; a member that does not lead returns
the address of the one that does.
"""

import threading
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any

from absl import logging
from returns.result import Success

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.wire import Address, ChannelPool, Credentials
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import LocateRequest, Verdict

from .reachability import reachable_hosts

RETRY_PAUSE_SECONDS = 0.03
"""Pause between two attempts: half the minimum duration of an election round."""

ATTEMPT_SECONDS = 0.6
"""Timeout of one attempt: a commit takes a few milliseconds, while a worker or an
operator waits for one second."""

CONNECT_SECONDS = 0.3
"""Timeout for connecting: about twelve round trips between regions."""

PROBE_SECONDS = 0.25
"""Timeout of a probe of all control instances: ten round trips between regions."""

AVOID_SECONDS = 2.0
"""How long a host that did not answer is tried after all others."""

_RETRY_VERDICTS = (Verdict.NOT_LEADER, Verdict.NO_QUORUM)


@dataclass(frozen=True)
class CallOutcome:
    """Result of a call to the leader.

    Parameters
    ----------
    answer : object or None
        The leader's answer, or None if there was none.
    sent : bool
        Whether an unanswered attempt may have reached a leader.
    """

    answer: Any
    sent: bool


class LeaderClient:
    """Calls the leader of the consensus group.

    Parameters
    ----------
    read_seeds : callable
        Returns the seed hosts in the current settings.
    port : int
        The port on which every control instance serves internal clients.
    credentials : Credentials
        Identify this process to the called host.
    clock : Clock
        Source of time.
    local : object, optional
        The service of this process, which is called directly while it leads.
    leader_hint : callable, optional
        Returns the leader known to the replica of this process, or an empty string.
    find_reachable : callable, optional
        Returns which hosts accept connections on a port within some seconds.
    """

    def __init__(
        self,
        read_seeds: Callable[[], Sequence[str]],
        port: int,
        credentials: Credentials,
        clock: Clock,
        local: Any = None,
        leader_hint: Callable[[], str] = lambda: "",
        find_reachable: Callable[
            [Collection[str], int, float], set[str]
        ] = reachable_hosts,
    ):
        self._read_seeds = read_seeds
        self._port = port
        self._credentials = credentials
        self._clock = clock
        self._local = local
        self._leader_hint = leader_hint
        self._find_reachable = find_reachable
        self._is_probed_cut_off = False
        self._avoided_until: dict[str, float] = {}
        self._lock = threading.Lock()
        self._pools: dict[str, ChannelPool] = {}
        self._members: list[str] = list(read_seeds())
        self._leader = ""
        self._logged_leader = ""
        self._leader_seen_at = clock.monotonic()

    def call(self, method: str, request: Any, seconds: float) -> CallOutcome:
        """Call a method of the leader, retrying until it answers or time runs out.

        The request may be sent more than once, so it must be idempotent.

        Parameters
        ----------
        method : str
            Name of the thrift method.
        request : object
            Its argument.
        seconds : float
            Time limit for all attempts together.

        Returns
        -------
        CallOutcome
            The leader's answer, if any.
        """
        deadline = Deadline.after(self._clock, seconds)
        sent = False
        tried: set[str] = set()
        while True:
            # Also after the pause between two attempts, which a suspension prolongs.
            if self._is_probed_cut_off or (tried and deadline.expired()):
                return CallOutcome(None, sent)
            if self._local is not None and self._local.leads():
                answer = getattr(self._local, method)(request)
                if answer.verdict not in _RETRY_VERDICTS:
                    return CallOutcome(answer, sent)
            target = self._choose_target(tried)
            tried.add(target)
            limit = min(ATTEMPT_SECONDS, max(0.05, deadline.remaining()))
            result = self._pool(target).call(method, request, limit)
            if isinstance(result, Success):
                answer = result.unwrap()
                self._avoided_until.pop(target, None)
                if answer.verdict not in _RETRY_VERDICTS:
                    self._note_leader(target)
                    return CallOutcome(answer, sent)
                self._note_leader(answer.leader if answer.leader != target else "")
            else:
                sent = sent or result.failure().may_have_been_sent()
                self._note_failure(target, result.failure().detail)
            if deadline.expired():
                return CallOutcome(None, sent)
            if self._leader in tried or not self._leader:
                self._clock.sleep(threading.Event(), RETRY_PAUSE_SECONDS)

    def refresh(self) -> bool:
        """Update the known leader and members; return whether there is a leader."""
        self._add_seeds()
        for host in self._candidates():
            result = self._pool(host).call("locate", LocateRequest(), ATTEMPT_SECONDS)
            if not isinstance(result, Success):
                self._note_failure(host, result.failure().detail)
                continue
            answer = result.unwrap()
            self._avoided_until.pop(host, None)
            with self._lock:
                self._members = list(answer.members) or self._members
            if answer.leader and self._note_leader(answer.leader):
                return True
        return False

    def seconds_without_leader(self) -> float:
        """Return the seconds since a leader last answered or was reported."""
        return self._clock.monotonic() - self._leader_seen_at

    def is_cut_off(self) -> bool:
        """Return whether more than half of the control instances do not answer.

        In that case no leader can be reached from here, although others may reach one.
        """
        now = self._clock.monotonic()
        with self._lock:
            hosts = list(self._members)
        silent = sum(self._avoided_until.get(host, 0.0) > now for host in hosts)
        return 2 * silent > len(hosts)

    def probe(self) -> None:
        """Find out which control instances can be reached.

        While most of them cannot, calls fail at once. The next probe, or a leader that
        answers, ends that.
        """
        with self._lock:
            hosts = list(self._members)
        reachable = self._find_reachable(hosts, self._port, PROBE_SECONDS)
        for host in hosts:
            if host in reachable:
                self._avoided_until.pop(host, None)
            else:
                self._note_failure(host, "it accepts no connection")
        is_cut_off = self.is_cut_off()
        if is_cut_off and not self._is_probed_cut_off:
            logging.warning(
                "cut off: %d of %d control instances can be reached, calls are refused",
                len(reachable),
                len(hosts),
            )
        self._is_probed_cut_off = is_cut_off

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()

    def _choose_target(self, tried: set[str]) -> str:
        hint = self._leader_hint()
        if hint and hint not in tried and hint != self._credentials.node_id:
            return hint
        with self._lock:
            if self._leader and self._leader not in tried:
                return self._leader
        candidates = self._candidates()
        untried = [host for host in candidates if host not in tried]
        if not untried:
            tried.clear()
            self._add_seeds()
            untried = candidates
        return untried[0]

    def _candidates(self) -> list[str]:
        with self._lock:
            hosts = [self._leader] if self._leader else []
            hosts += [host for host in self._members if host not in hosts]
        hosts += [host for host in self._read_seeds() if host not in hosts]
        own_id = self._credentials.node_id
        now = self._clock.monotonic()
        hosts = [host for host in hosts if host != own_id] or hosts
        hosts.sort(key=lambda host: max(0.0, self._avoided_until.get(host, 0.0) - now))
        return hosts

    def _note_failure(self, host: str, reason: str) -> None:
        now = self._clock.monotonic()
        if self._avoided_until.get(host, 0.0) < now:
            logging.info("control instance %s does not answer: %s", host, reason)
        self._avoided_until[host] = now + AVOID_SECONDS
        with self._lock:
            if self._leader == host:
                self._leader = ""

    def _add_seeds(self) -> None:
        with self._lock:
            for host in self._read_seeds():
                if host not in self._members:
                    self._members.append(host)

    def _note_leader(self, host: str) -> bool:
        """Record the leader, and return whether it counts as seen.

        One that another instance reports, and that could not be reached just now, does
        not: the other instance may be cut off together with this process.
        """
        is_seen = self._avoided_until.get(host, 0.0) <= self._clock.monotonic()
        with self._lock:
            self._leader = host
            if host and host != self._logged_leader:
                logging.info(
                    "leader is now %s, previously %s", host, self._logged_leader
                )
                self._logged_leader = host
            if host and is_seen:
                self._leader_seen_at = self._clock.monotonic()
                self._is_probed_cut_off = False
        return is_seen

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
