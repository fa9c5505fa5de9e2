"""The subscription: replicates the configuration from control by long polling.

The same poll sends acknowledgements to control and renews the dispatch lease.
"""

import threading
from collections.abc import Callable

from absl import logging
from returns.result import Result, Success

from arbutuscleat.core import Clock
from arbutuscleat.wire import CallError, Channel, Credentials
from arbutuscleat.wire.gen.ttypes import FetchAnswer, FetchRequest, MemberAck, Status

from .configuration_view import ConfigurationView
from .dispatch_rights import DispatchRights

POLL_WAIT_MS = 1_000
CALL_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.2
RENEW_BEFORE_SECONDS = 1.5


class Subscription:
    """A task that polls the leading control instance, or each in turn to find it.

    Parameters
    ----------
    credentials : Credentials
        Identity of this process.
    channels : mapping of str to Channel
        The control instances by node id.
    view : ConfigurationView
        The replica to update.
    rights : DispatchRights
        Records the leases that control grants.
    acks : callable
        Returns the acknowledgements of this process and its peers.
    clock : Clock
        Source of time.
    on_version : callable
        Called after each new version.
    """

    def __init__(
        self,
        credentials: Credentials,
        channels: dict[str, Channel],
        view: ConfigurationView,
        rights: DispatchRights,
        acks: Callable[[], list[MemberAck]],
        clock: Clock,
        on_version: Callable[[], None],
    ):
        self._credentials = credentials
        self._channels = channels
        self._names = list(channels)
        self._source = self._names[0]
        self._view = view
        self._rights = rights
        self._acks = acks
        self._clock = clock
        self._on_version = on_version
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="subscription", daemon=True
        )

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the task and abort a call in progress."""
        self._stopping.set()
        for channel in self._channels.values():
            channel.close()

    def poll_once(self) -> bool:
        """Poll one control instance once; return whether it leads.

        The call does not wait for a new version if the lease needs renewal, as the
        lease is granted only with the answer.
        """
        needs_renewal = self._rights.control_lease_expires_within(RENEW_BEFORE_SECONDS)
        request = FetchRequest(
            node_id=self._credentials.node_id,
            incarnation=self._credentials.incarnation,
            known_version=self._view.version,
            acks=self._acks(),
            wait_ms=0 if needs_renewal else POLL_WAIT_MS,
        )
        sent_at = self._clock.monotonic()
        source = self._source
        result: Result[FetchAnswer, CallError] = self._channels[source].call(
            "fetch", request, CALL_TIMEOUT_SECONDS
        )
        if not isinstance(result, Success):
            self._switch_source(source, "")
            return False
        answer = result.unwrap()
        if self._view.apply(answer):
            logging.info("configuration updated to version %d", self._view.version)
            self._on_version()
        if answer.lease_ms:
            self._rights.record_control_lease(sent_at, answer.lease_ms / 1000.0)
        if answer.status != Status.OK:
            self._switch_source(source, answer.leader)
            return False
        return True

    def _run(self) -> None:
        while not self._stopping.is_set():
            version = self._view.version
            is_leader = self.poll_once()
            needs_renewal = self._rights.control_lease_expires_within(
                RENEW_BEFORE_SECONDS
            )
            is_stuck = needs_renewal and self._view.version == version
            if not is_leader or is_stuck or self._view.has_failed_save():
                self._clock.sleep(self._stopping, RETRY_INTERVAL_SECONDS)

    def _switch_source(self, source: str, hint: str) -> None:
        if hint in self._channels and hint != source:
            self._source = hint
            return
        position = self._names.index(source) + 1
        self._source = self._names[position % len(self._names)]
