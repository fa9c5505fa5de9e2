"""The exchange between the entry instances of one data centre.

One task per peer sends new announcements and the held version, requests a lease
(dispatching requires the leases of all peers while there is none from control), and
fetches the configuration if the peer holds a newer version.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result, Success

from arbutuscleat.core import Clock
from arbutuscleat.state import instance_from, instance_record
from arbutuscleat.wire import CallError, Channel, Credentials
from arbutuscleat.wire.gen.ttypes import (
    FetchAnswer,
    FetchRequest,
    InstanceRecord,
    MemberAck,
    ShareAnswer,
    ShareRequest,
)

from .announcement_table import AnnouncementTable
from .configuration_fetch import answer_fetch
from .configuration_view import ConfigurationView
from .dispatch_rights import DispatchRights
from .in_force_tracker import InForceTracker

EXCHANGE_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0
MAX_RELAYED_ACK_AGE_SECONDS = 60.0


@dataclass(frozen=True)
class _ReceivedAck:
    """An acknowledgement of a peer and the time at which it was received."""

    ack: MemberAck
    heard_at: float

    def relayed(self, now: float) -> MemberAck:
        """Return the acknowledgement with its age, for relaying it to control."""
        ack = self.ack
        return MemberAck(
            node_id=ack.node_id,
            incarnation=ack.incarnation,
            held_version=ack.held_version,
            in_force_version=ack.in_force_version,
            busy=ack.busy,
            age_ms=int((now - self.heard_at) * 1000),
        )


class PeerExchange:
    """Exchanges announcements, versions and leases with the peers.

    Parameters
    ----------
    credentials : Credentials
        Identity of this process.
    channels : mapping of str to Channel
        The peers of this data centre by node id.
    table : AnnouncementTable
        Announcements of the endpoints.
    view : ConfigurationView
        The replicated configuration.
    rights : DispatchRights
        Records the leases that peers grant, and decides whether to grant any.
    in_force : InForceTracker
        Records the versions that peers hold.
    table_version : callable
        Returns the version that is used to place requests.
    lease_ms : int
        Duration of the leases granted to peers, in milliseconds.
    busy : callable
        Returns the draining instances on which work of this process still runs.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        credentials: Credentials,
        channels: dict[str, Channel],
        table: AnnouncementTable,
        view: ConfigurationView,
        rights: DispatchRights,
        in_force: InForceTracker,
        table_version: Callable[[], int],
        lease_ms: int,
        busy: Callable[[], list[str]],
        clock: Clock,
    ):
        self._credentials = credentials
        self._channels = channels
        self._table = table
        self._view = view
        self._rights = rights
        self._in_force = in_force
        self._table_version = table_version
        self._lease_ms = lease_ms
        self._busy = busy
        self._clock = clock
        self._stopping = threading.Event()
        self._wake_events = {name: threading.Event() for name in channels}
        self._lock = threading.Lock()
        self._peer_acks: dict[str, _ReceivedAck] = {}

    def start(self) -> None:
        """Start one task for each peer."""
        for name in self._channels:
            threading.Thread(
                target=self._run_exchange,
                args=(name,),
                name=f"peer-{name}",
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Stop the tasks and abort calls in progress."""
        self._stopping.set()
        self.wake()
        for channel in self._channels.values():
            channel.close()

    def wake(self) -> None:
        """Start an exchange with every peer without waiting for the interval."""
        for event in self._wake_events.values():
            event.set()

    def acks(self) -> list[MemberAck]:
        """Return the acknowledgements of this process and, with age, of its peers."""
        now = self._clock.monotonic()
        with self._lock:
            recent = [
                item
                for item in self._peer_acks.values()
                if now - item.heard_at < MAX_RELAYED_ACK_AGE_SECONDS
            ]
        return [self.own_ack(), *[item.relayed(now) for item in recent]]

    def own_ack(self) -> MemberAck:
        """Return the acknowledgement of this process."""
        # The version is read first, so that `busy` covers all work on the instances
        # that this version drains.
        version = self._view.version
        return MemberAck(
            node_id=self._credentials.node_id,
            incarnation=self._credentials.incarnation,
            held_version=version,
            in_force_version=self._table_version(),
            busy=self._busy(),
        )

    # ---- calls from peers ----

    def share(self, request: ShareRequest) -> ShareAnswer:
        """Process the share request of a peer; grant a lease if it is up to date."""
        for record in request.announcements:
            self._table.update(instance_from(record), direct=False)
        self._record_ack(request.ack)
        grants = self._rights.may_grant(request.ack.held_version)
        return ShareAnswer(
            request_id=request.request_id,
            ack=self.own_ack(),
            lease_ms=self._lease_ms if grants else 0,
        )

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Return the configuration to a peer that holds an older version."""
        return answer_fetch(self._view, request, self._clock)

    # ---- calls to peers ----

    def exchange_once(self, name: str, sent: dict[str, tuple[str, int]]) -> bool:
        """Perform one exchange with a peer.

        Parameters
        ----------
        name : str
            Node id of the peer.
        sent : dict of str to tuple of (str, int)
            Incarnation and sequence of the announcements that the peer already has,
            by instance id; updated in place.

        Returns
        -------
        bool
            Whether the peer answered.
        """
        unsent = self._unsent_announcements(sent)
        request = ShareRequest(
            node_id=self._credentials.node_id, ack=self.own_ack(), announcements=unsent
        )
        sent_at = self._clock.monotonic()
        result: Result[ShareAnswer, CallError] = self._channels[name].call(
            "share", request, CALL_TIMEOUT_SECONDS
        )
        if not isinstance(result, Success):
            return False
        answer = result.unwrap()
        for record in unsent:
            sent[record.instance_id] = (record.incarnation, record.sequence)
        self._record_ack(answer.ack)
        if answer.lease_ms:
            self._rights.record_peer_lease(
                name, answer.ack.incarnation, sent_at, answer.lease_ms / 1000.0
            )
        if answer.ack.held_version > self._view.version:
            self._fetch_from(name)
        return True

    def _run_exchange(self, name: str) -> None:
        sent: dict[str, tuple[str, int]] = {}
        incarnation = ""
        while not self._stopping.is_set():
            if not self.exchange_once(name, sent):
                sent.clear()  # The peer may have restarted.
            incarnation = self._reset_if_restarted(name, incarnation, sent)
            self._clock.sleep(self._wake_events[name], EXCHANGE_INTERVAL_SECONDS)
            self._wake_events[name].clear()

    def _reset_if_restarted(
        self, name: str, incarnation: str, sent: dict[str, tuple[str, int]]
    ) -> str:
        with self._lock:
            received = self._peer_acks.get(name)
        current = received.ack.incarnation if received is not None else ""
        if current != incarnation:
            sent.clear()
        return current

    def _record_ack(self, ack: MemberAck) -> None:
        received = _ReceivedAck(ack, self._clock.monotonic())
        with self._lock:
            self._peer_acks[ack.node_id] = received
        self._in_force.record_peer_version(ack.node_id, ack.held_version)

    def _fetch_from(self, name: str) -> None:
        request = FetchRequest(
            node_id=self._credentials.node_id,
            incarnation=self._credentials.incarnation,
            known_version=self._view.version,
            acks=[],
            wait_ms=0,
        )
        result: Result[FetchAnswer, CallError] = self._channels[name].call(
            "fetch", request, CALL_TIMEOUT_SECONDS
        )
        if isinstance(result, Success):
            self._view.apply(result.unwrap())

    def _unsent_announcements(
        self, sent: dict[str, tuple[str, int]]
    ) -> list[InstanceRecord]:
        """Return the directly received announcements that a peer does not have yet."""
        return [
            instance_record(item.instance)
            for item in self._table.all()
            if item.direct
            and sent.get(item.instance.instance_id) != item.instance.order()
        ]
