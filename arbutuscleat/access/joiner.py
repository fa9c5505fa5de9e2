"""Joining the consensus group: a replica without a leader asks to be added.

A new machine, one that restarted with an empty disk, and one that was replaced in the
group while it was partitioned all become learners this way; the leader promotes them.
"""

import threading
from collections.abc import Callable, Sequence

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica, Role
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.wire import Address, Channel, Credentials
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import JoinRequest

CHECK_SECONDS = 0.3
"""Interval at which a replica checks whether it has a leader."""

CALL_SECONDS = 0.5


class Joiner:
    """Background task that asks to join the group while there is no leader.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    incarnation : str
        Incarnation of this replica.
    read_seeds : callable
        Returns the seed hosts in the current settings.
    port : int
        Port of the other control instances.
    credentials : Credentials
        Identify this process to the called host.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        replica: Replica,
        incarnation: str,
        read_seeds: Callable[[], Sequence[str]],
        port: int,
        credentials: Credentials,
        clock: Clock,
    ):
        self._replica = replica
        self._incarnation = incarnation
        self._read_seeds = read_seeds
        self._port = port
        self._credentials = credentials
        self._clock = clock
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="joiner", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def _run(self) -> None:
        run_loop(self._check, self._stopping, self._clock, CHECK_SECONDS)

    def _check(self) -> None:
        status = self._replica.status()
        if not status.leader and status.role is not Role.FAILED:
            self._request_join()

    def _request_join(self) -> None:
        own_id = self._credentials.node_id
        hosts = [*self._read_seeds(), *self._replica.members()]
        tried = {own_id}
        while hosts:
            host = hosts.pop(0)
            if host in tried or self._stopping.is_set():
                continue
            tried.add(host)
            request = JoinRequest(node_id=own_id, incarnation=self._incarnation)
            channel = Channel(
                JobControl.Client, Address(host, self._port), self._credentials
            )
            result = channel.call("join", request, CALL_SECONDS)
            channel.close()
            if not isinstance(result, Success):
                continue
            answer = result.unwrap()
            if answer.accepted:
                logging.info("join request accepted by %s", host)
                return
            if answer.leader:
                hosts.insert(0, answer.leader)
