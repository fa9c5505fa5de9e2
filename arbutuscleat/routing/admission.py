"""Admission: slots, and the bounded queue of those who wait for one.

A request that finds no free slot waits in its service's queue, urgent ones first, then
first come, first served.  An urgent request takes the place of the last other one when
the queue is full.  A request is refused at once when the queue is full, or when the
measured run times say that its turn would come after its deadline.
"""

import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from arbutuscleat.core import Clock, Deadline, Outcome, Refusal, RefusalReason

from .request import Request
from .run_times import RunTimes
from .slot import Slot, SlotOffer

ABANDONED_CHECK_SECONDS = 0.25

FindOffers = Callable[[], Sequence[SlotOffer]]

NO_INSTANCE_READY = Refusal(
    RefusalReason.NO_INSTANCE_READY,
    Outcome.NOT_RUN,
    "no matching instance is ready in this data centre",
    1.0,
)


@dataclass
class _Waiter:
    """A request in a queue.

    Its offers are found anew at each look, since instances come and go meanwhile.
    """

    find_offers: FindOffers
    is_urgent: bool
    turn: threading.Event = field(default_factory=threading.Event)
    slot: Slot | None = None
    is_displaced: bool = False


class AdmissionController:
    """Hands out slots of the instances of one data centre.

    Parameters
    ----------
    clock : Clock
        Source of time.
    run_times : RunTimes
        Measured run times.
    queue_length : int
        Requests of one service that may wait.
    limit : callable
        Returns how many requests may run on an offered instance now.
    jitter : callable
        Returns a number between 0 and 1.
    """

    def __init__(
        self,
        clock: Clock,
        run_times: RunTimes,
        queue_length: int,
        limit: Callable[[SlotOffer], int],
        jitter: Callable[[], float],
    ):
        self._clock = clock
        self.run_times = run_times
        self._queue_length = queue_length
        self._limit = limit
        self._jitter = jitter
        self._lock = threading.Lock()
        self._in_use: dict[str, int] = {}
        self._queues: dict[str, deque[_Waiter]] = {}

    def in_use(self, instance_id: str) -> int:
        """Return the slots of an instance that are taken here."""
        return self._in_use.get(instance_id, 0)

    def waiting(self, service: str) -> int:
        """Return the number of requests of a service that wait."""
        return len(self._queues.get(service, ()))

    def busy_instances(self) -> list[str]:
        """Return the instances on which slots are taken here."""
        with self._lock:
            return list(self._in_use)

    def waiting_total(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def full_offers(self) -> list[SlotOffer]:
        """Return the offers of those who wait, for which all slots are taken here."""
        with self._lock:
            found = {}
            for queue in self._queues.values():
                for offer in queue[0].find_offers() if queue else ():
                    name = offer.instance.instance_id
                    limit = self._limit(offer)
                    if self._in_use.get(name, 0) >= limit > 0:
                        found[name] = offer
            return list(found.values())

    def lend(self, offer: SlotOffer, give: Callable[[int], int]) -> int:
        """Let `give` take some of the slots that are free here; return how many."""
        with self._lock:
            if any(self._queues.values()):
                return give(0)
            in_use = self._in_use.get(offer.instance.instance_id, 0)
            return give(max(0, self._limit(offer) - in_use))

    def total_in_use(self) -> int:
        """Return the slots taken on all instances."""
        with self._lock:
            return sum(self._in_use.values())

    def acquire(
        self, req: Request, find_offers: FindOffers, deadline: Deadline
    ) -> Result[Slot, Refusal]:
        """Take a slot of one of the offered instances, waiting for it if need be."""
        service = req.service
        offers = find_offers()
        with self._lock:
            queue = self._queues.setdefault(service, deque())
            slot = None if queue else self._take_free(offers)
            if slot is not None:
                return Success(slot)
            if not any(self._limit(offer) for offer in offers):
                return Failure(NO_INSTANCE_READY)
            refusal = self._refuse_early(req, offers, queue, deadline)
            if refusal is not None:
                return Failure(refusal)
            waiter = _Waiter(find_offers, req.is_urgent())
            self._enqueue(queue, waiter)
        while not deadline.expired() and not req.is_abandoned():
            pause = min(deadline.remaining(), ABANDONED_CHECK_SECONDS)
            if self._clock.sleep(waiter.turn, pause):
                break
        return self._leave_queue(req, waiter)

    def release(self, slot: Slot) -> None:
        """Give a slot back; the first who can use it gets it."""
        with self._lock:
            left = self._in_use[slot.instance_id] - 1
            self._in_use[slot.instance_id] = left
            if not left:
                del self._in_use[slot.instance_id]
            self._serve_queues()

    def recheck(self) -> None:
        """Serve the queues after instances or shares have changed."""
        with self._lock:
            self._serve_queues()

    # ---- with the lock held ----

    def _take_free(self, offers: Sequence[SlotOffer]) -> Slot | None:
        """Take a slot of the least loaded instance that has one."""
        best: SlotOffer | None = None
        best_load = 1.0
        for offer in offers:
            in_use = self._in_use.get(offer.instance.instance_id, 0)
            limit = self._limit(offer)
            if limit and in_use / limit < best_load:
                best, best_load = offer, in_use / limit
        if best is None:
            return None
        instance_id = best.instance.instance_id
        self._in_use[instance_id] = self._in_use.get(instance_id, 0) + 1
        return Slot(best.instance)

    def _serve_queues(self) -> None:
        for queue in self._queues.values():
            while queue:
                slot = self._take_free(queue[0].find_offers())
                if slot is None:
                    break
                waiter = queue.popleft()
                waiter.slot = slot
                waiter.turn.set()

    def _enqueue(self, queue: deque[_Waiter], waiter: _Waiter) -> None:
        if len(queue) >= self._queue_length and queue:
            displaced = queue.pop()
            displaced.is_displaced = True
            displaced.turn.set()
        place = _urgent(queue) if waiter.is_urgent else len(queue)
        queue.insert(place, waiter)

    def _refuse_early(
        self,
        req: Request,
        offers: Sequence[SlotOffer],
        queue: deque[_Waiter],
        deadline: Deadline,
    ) -> Refusal | None:
        capacity = max(1, sum(self._limit(offer) for offer in offers))
        ahead = _urgent(queue) if req.is_urgent() else len(queue)
        expected = self.run_times.mean(req.service) * (ahead + 1) / capacity
        if ahead >= self._queue_length:
            detail = f"{len(queue)} requests wait already"
            return self._refusal(RefusalReason.POOL_FULL, detail, expected)
        if expected > deadline.remaining():
            detail = f"the expected wait of {expected:.2f} s passes the deadline"
            return self._refusal(RefusalReason.DEADLINE, detail, expected)
        return None

    def _refusal(self, reason: RefusalReason, detail: str, wait: float) -> Refusal:
        retry_after = wait * (1.0 + self._jitter())
        return Refusal(reason, Outcome.NOT_RUN, detail, retry_after)

    def _leave_queue(self, req: Request, waiter: _Waiter) -> Result[Slot, Refusal]:
        with self._lock:
            if waiter.slot is not None:
                return Success(waiter.slot)
            if waiter.is_displaced:
                return Failure(self._displaced(req))
            self._queues[req.service].remove(waiter)
        if req.is_abandoned():
            detail = "the caller has hung up while it waited"
            return Failure(Refusal(RefusalReason.ABANDONED, Outcome.NOT_RUN, detail))
        detail = "no slot became free before the deadline"
        wait = self.run_times.mean(req.service)
        return Failure(self._refusal(RefusalReason.DEADLINE, detail, wait))

    def _displaced(self, req: Request) -> Refusal:
        detail = "an urgent request took its place in the full queue"
        wait = self.run_times.mean(req.service) * self._queue_length
        return self._refusal(RefusalReason.POOL_FULL, detail, wait)


def _urgent(queue: deque[_Waiter]) -> int:
    """Return the number of urgent requests, which stand in front."""
    return sum(waiter.is_urgent for waiter in queue)
