"""The slot borrower: borrows slots from peers while requests are queued here."""

import itertools
import threading
from collections.abc import Mapping

from returns.result import Success

from arbutuscleat.core import Clock
from arbutuscleat.membership import ConfigurationView
from arbutuscleat.wire import Channel
from arbutuscleat.wire.gen.ttypes import BorrowAnswer, BorrowRequest

from .admission import AdmissionController
from .routing_table_holder import RoutingTableHolder
from .slot import SlotOffer
from .slot_transfers import SlotTransfers

BORROW_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.5
MAX_INSTANCES_PER_ROUND = 8


class SlotBorrower:
    """Moves slots to the entry instances on which requests are queued.

    Parameters
    ----------
    node_id, incarnation : str
        Node id and incarnation of this process.
    channels : mapping of str to Channel
        The peers of this data centre by node id.
    admission : AdmissionController
        Holds the queued requests and the slots in use.
    transfers : SlotTransfers
        Accounts for the slots lent and borrowed.
    tables : RoutingTableHolder
        The routing table in force, with the shares of this process.
    view : ConfigurationView
        The configuration version that this process holds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: str,
        channels: Mapping[str, Channel],
        admission: AdmissionController,
        transfers: SlotTransfers,
        tables: RoutingTableHolder,
        view: ConfigurationView,
        clock: Clock,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._channels = channels
        self._admission = admission
        self._transfers = transfers
        self._tables = tables
        self._view = view
        self._clock = clock
        self._ids = itertools.count(1)
        self._unanswered: dict[str, BorrowRequest] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="borrower", daemon=True)

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the background thread and close the channels."""
        self._stopping.set()
        for channel in self._channels.values():
            channel.close()

    def borrow_once(self) -> int:
        """Ask the peers for slots of saturated instances; return how many were lent."""
        received = 0
        wanted = self._admission.waiting_total()
        for offer in self._admission.saturated_offers()[:MAX_INSTANCES_PER_ROUND]:
            for peer in self._channels:
                if received < wanted:
                    received += self._borrow_from(peer, offer, wanted - received)
        if received:
            self._admission.recheck()
        return received

    def lend(self, request: BorrowRequest) -> BorrowAnswer:
        """Lend a peer up to half of the slots of an instance that are free here."""
        answer = BorrowAnswer(
            request_id=request.request_id, incarnation=self._incarnation, given=0
        )
        offer = self._offer(request.instance_id)
        if offer is None:
            return answer

        def give(free: int) -> int:
            return self._transfers.give(
                request.node_id,
                request.incarnation,
                request.instance_id,
                request.transfer_id,
                min(request.wanted, (free + 1) // 2),
            )

        answer.given = self._admission.lend(offer, give)
        return answer

    def _borrow_from(self, peer: str, offer: SlotOffer, wanted: int) -> int:
        # An unanswered request is repeated first: the peer may have given up slots
        # that this process has not received.
        request = self._unanswered.get(peer) or BorrowRequest(
            node_id=self._node_id,
            incarnation=self._incarnation,
            instance_id=offer.instance.instance_id,
            wanted=wanted,
            transfer_id=next(self._ids),
        )
        self._unanswered[peer] = request
        result = self._channels[peer].call("borrow", request, CALL_TIMEOUT_SECONDS)
        if not isinstance(result, Success):
            return 0
        del self._unanswered[peer]
        answer: BorrowAnswer = result.unwrap()
        if answer.given:
            self._transfers.receive(
                peer, answer.incarnation, request.instance_id, answer.given
            )
        return answer.given

    def _offer(self, instance_id: str) -> SlotOffer | None:
        table = self._tables.current()
        configuration = self._view.configuration
        if table is None or configuration is None:
            return None
        instance = configuration.instances.get(instance_id)
        if instance is None:
            return None
        return SlotOffer(instance, table.shares.of(instance.slots))

    def _run(self) -> None:
        while not self._clock.sleep(self._stopping, BORROW_INTERVAL_SECONDS):
            if self._admission.waiting_total():
                self.borrow_once()
