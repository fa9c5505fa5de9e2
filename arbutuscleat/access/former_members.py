"""Former members: control instances that left the group and cannot find it again.

A replica that lost its disk while it was replaced in the group asks the hosts in its
settings to join. If these name no other member it asks nobody, and the group no longer
calls it. The leader therefore calls the control instances that it has known as members,
and lists one that answers as part of no group in the log, as if it had asked to join.
"""

import threading
from collections.abc import Callable, Sequence

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock, run_loop
from arbutuscleat.wire import Address, Channel, Credentials
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import LocateRequest

CHECK_SECONDS = 1.0
"""Interval at which one host is called."""

CALL_SECONDS = 0.5

MAX_HOSTS = 64
"""Number of hosts that are remembered: several times the members of a group."""


class FormerMembers:
    """Background task that brings former members back while this process leads.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
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
        read_seeds: Callable[[], Sequence[str]],
        port: int,
        credentials: Credentials,
        clock: Clock,
    ):
        self._replica = replica
        self._read_seeds = read_seeds
        self._port = port
        self._credentials = credentials
        self._clock = clock
        self._known: list[str] = []
        """Hosts that have been members or seeds; the one to be called next is first."""

        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="former-members", daemon=True
        )

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task."""
        self._stopping.set()

    def _run(self) -> None:
        run_loop(self.run_once, self._stopping, self._clock, CHECK_SECONDS)

    def run_once(self) -> None:
        """Note the members; if this process leads, call one former member."""
        members = self._replica.members()
        for host in [*members, *self._read_seeds()]:
            if host not in self._known:
                self._known.append(host)
        del self._known[:-MAX_HOSTS]
        if not self._replica.leads():
            return
        present = {*members, self._credentials.node_id}
        former = [item for item in self._known if item not in present]
        if former:
            self._known.remove(former[0])
            self._known.append(former[0])
            self._call(former[0])

    def _call(self, host: str) -> None:
        channel = Channel(
            JobControl.Client, Address(host, self._port), self._credentials
        )
        result = channel.call("locate", LocateRequest(), CALL_SECONDS)
        incarnation = channel.peer_incarnation
        channel.close()
        if not isinstance(result, Success):
            return
        answer = result.unwrap()
        if answer.leader or answer.members:
            return  # It is part of a group, and finds it by itself.
        if self._replica.accept_join(host, incarnation):
            logging.info("former member %s knows no group, adding it", host)
