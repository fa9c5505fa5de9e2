"""The exchange between the entry instances of one data centre.

One task for each peer passes on announcements; one task lists this process at
control.  It also holds the right to dispatch.
"""

import threading

from absl import logging
from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.state import Member, instance_from, instance_record, member_record
from arbutuscleat.wire import Address, CallError, Channel, Credentials
from arbutuscleat.wire.gen.ttypes import (
    Command,
    FetchAnswer,
    FetchRequest,
    ForwardAnswer,
    ForwardRequest,
    InstanceRecord,
    ReportMember,
    ShareAnswer,
    ShareRequest,
    Status,
)

from .announcement_table import AnnouncementTable
from .configuration_view import ConfigurationView
from .control_client import ControlClient

EXCHANGE_SECONDS = 0.5
CALL_SECONDS = 1.0
LISTING_SECONDS = 0.5
PROPOSE_SECONDS = 2.0
MAX_WAIT_SECONDS = 2.0


class PeerExchange:
    """Shares announcements with the peers of this data centre.

    Parameters
    ----------
    credentials : Credentials
        Identity of this process.
    data_centre : str
        Where it runs.
    channels : mapping of str to Channel
        The peers of this data centre by node id.
    table : AnnouncementTable
        What the endpoints announced.
    view : ConfigurationView
        The configuration held here.
    control : ControlClient
        The way to the log.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        credentials: Credentials,
        data_centre: str,
        channels: dict[str, Channel],
        table: AnnouncementTable,
        view: ConfigurationView,
        control: ControlClient,
        clock: Clock,
    ):
        self._credentials = credentials
        self._data_centre = data_centre
        self._channels = channels
        self._table = table
        self._view = view
        self._control = control
        self._clock = clock
        self._lease_until = float("-inf")
        self._stopping = threading.Event()
        self._wakes = {name: threading.Event() for name in channels}
        self._address = Address("", 0)

    def start(self, address: Address) -> None:
        """Start the tasks; `address` is where peers reach this process."""
        self._address = address
        self._spawn("membership-listing", self._keep_listed)
        for name, channel in self._channels.items():
            self._spawn(f"peer-{name}", self._converse, name, channel)

    def stop(self) -> None:
        """Stop the tasks."""
        self._stopping.set()
        self.wake()
        for channel in self._channels.values():
            channel.close()

    def wake(self) -> None:
        """Pass on announcements at once."""
        for event in self._wakes.values():
            event.set()

    # ---- the right to dispatch ----

    def note_control(self, answer: FetchAnswer, sent_at: float) -> None:
        """Take the lease that came with an answer of control."""
        if answer.lease_ms:
            until = sent_at + answer.lease_ms / 1000.0
            self._lease_until = max(self._lease_until, until)

    def may_dispatch(self) -> bool:
        """Return whether this process may send work to instances now."""
        return self._clock.monotonic() < self._lease_until

    # ---- for peers ----

    def share(self, request: ShareRequest) -> ShareAnswer:
        """Take the announcements that a peer passes on."""
        for record in request.announcements:
            self._table.take(instance_from(record), direct=False)
        return ShareAnswer(
            request_id=request.request_id,
            version=self._view.version,
            incarnation=self._credentials.incarnation,
        )

    def fetch(self, request: FetchRequest) -> FetchAnswer:
        """Answer a peer that has no control instance to ask."""
        wait = min(request.wait_ms / 1000.0, MAX_WAIT_SECONDS)
        deadline = Deadline.after(self._clock, wait)
        view = self._view
        with view.changed:
            while view.version <= request.known_version and not deadline.expired():
                self._clock.wait(view.changed, deadline.remaining())
            answer = FetchAnswer(
                request_id=request.request_id,
                status=Status.OK,
                version=view.version,
                lease_ms=0,
            )
            if view.version > request.known_version:
                answer.deltas = view.deltas_since(request.known_version)
                if request.known_version < 0 or answer.deltas is None:
                    answer.deltas = None
                    answer.full = view.full()
        return answer

    def forward(self, request: ForwardRequest) -> ForwardAnswer:
        """Refuse: forwarding between data centres is not served yet."""
        return ForwardAnswer(
            request_id=request.request_id, outcome="not-run", reason="not-ready"
        )

    # ---- tasks ----

    def _spawn(self, name: str, target, *args) -> None:
        threading.Thread(target=target, args=args, name=name, daemon=True).start()

    def _converse(self, name: str, channel: Channel) -> None:
        sent: dict[str, tuple[str, int]] = {}
        while not self._stopping.is_set():
            fresh = self._fresh(sent)
            request = ShareRequest(
                node_id=self._credentials.node_id,
                incarnation=self._credentials.incarnation,
                version=self._view.version,
                announcements=fresh,
            )
            result: Result[ShareAnswer, CallError] = channel.call(
                "share", request, CALL_SECONDS
            )
            if isinstance(result, Success):
                for record in fresh:
                    sent[record.instance_id] = (record.incarnation, record.sequence)
            self._clock.sleep(self._wakes[name], EXCHANGE_SECONDS)
            self._wakes[name].clear()

    def _fresh(self, sent: dict[str, tuple[str, int]]) -> list[InstanceRecord]:
        """Return the direct announcements that a peer does not have yet."""
        return [
            instance_record(item.instance)
            for item in self._table.all()
            if item.direct
            and sent.get(item.instance.instance_id) != item.instance.order()
        ]

    def _keep_listed(self) -> None:
        while not self._clock.sleep(self._stopping, LISTING_SECONDS):
            member = self._member()
            with self._view.changed:
                configuration = self._view.configuration
                if configuration is None:
                    continue
                listed = configuration.members.get(member.node_id) == member
            if listed:
                continue
            command = Command(member=ReportMember(member=member_record(member)))
            result = self._control.propose(command, PROPOSE_SECONDS)
            if isinstance(result, Failure):
                logging.warning("not listed yet: %s", result.failure().detail)

    def _member(self) -> Member:
        return Member(
            node_id=self._credentials.node_id,
            incarnation=self._credentials.incarnation,
            data_centre=self._data_centre,
            host=self._address.host,
            port=self._address.port,
            durable=False,
            live=True,
        )
