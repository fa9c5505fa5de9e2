"""Joining: a replica that hears no leader asks to be listed.

An empty machine, one that came back with an empty disk, and one that was replaced
while it was cut off all become learners this way; the leader promotes them.
"""

import threading
from collections.abc import Callable, Sequence

from absl import logging
from returns.result import Success

from arbutuscleat.consensus import Replica
from arbutuscleat.core import Clock
from arbutuscleat.wire import Address, Channel, Credentials
from arbutuscleat.wire.gen_jobs import JobControl
from arbutuscleat.wire.gen_jobs.ttypes import JoinRequest

LOOK_SECONDS = 0.3
"""How often a replica looks whether it hears a leader."""

CALL_SECONDS = 0.5


class Joiner:
    """Asks to join while no leader is heard.

    Parameters
    ----------
    replica : Replica
        This process's member of the consensus group.
    incarnation : str
        How it presents itself.
    read_seeds : callable
        Returns the hosts that the settings name now.
    port : int
        The port of the other control instances.
    credentials : Credentials
        What this process presents.
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
        """Start to look."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to look."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, LOOK_SECONDS):
            status = self._replica.status()
            if not status.leader:
                self._ask()

    def _ask(self) -> None:
        own = self._credentials.node_id
        hosts = [*self._read_seeds(), *self._replica.members()]
        asked = {own}
        while hosts:
            host = hosts.pop(0)
            if host in asked or self._stopping.is_set():
                continue
            asked.add(host)
            request = JoinRequest(node_id=own, incarnation=self._incarnation)
            channel = Channel(
                JobControl.Client, Address(host, self._port), self._credentials
            )
            result = channel.call("join", request, CALL_SECONDS)
            channel.close()
            if not isinstance(result, Success):
                continue
            answer = result.unwrap()
            if answer.accepted:
                logging.info("asked %s to be listed", host)
                return
            if answer.leader:
                hosts.insert(0, answer.leader)
