"""Admission control: concurrency slots and a bounded queue for each service.

A request that finds no free slot waits in the queue of its service.  Urgent requests
come before all others; within each class the order is first in, first out.  When the
queue is full, an urgent request displaces the last request that is not urgent.

A request is refused without waiting when the queue is full, or when the measured run
times predict that it would not get a slot before its deadline.
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

ABANDONED_CHECK_INTERVAL_SECONDS = 0.25
"""How often a queued request checks whether its caller has disconnected."""

FindOffers = Callable[[], Sequence[SlotOffer]]

NO_INSTANCE_READY = Refusal(
    RefusalReason.NO_INSTANCE_READY,
    Outcome.NOT_RUN,
    "no matching instance is ready in this data centre",
    1.0,
)


@dataclass
class _Waiter:
    """A queued request.

    The offers are computed again on each attempt to assign a slot, because instances
    join and leave while the request waits.
    """

    find_offers: FindOffers
    is_urgent: bool
    wakeup: threading.Event = field(default_factory=threading.Event)
    slot: Slot | None = None
    is_displaced: bool = False


class AdmissionController:
    """Assigns the slots of the instances of one data centre to requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    run_times : RunTimes
        Measured run times by service.
    queue_length : int
        Maximum number of queued requests for each service.
    limit : callable
        Returns how many requests this process may run on an offered instance now.
    jitter : callable
        Returns a random number between 0 and 1, which spreads the retries of refused
        callers.
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
        """Return the number of slots of an instance that this process uses."""
        return self._in_use.get(instance_id, 0)

    def waiting(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return len(self._queues.get(service, ()))

    def busy_instances(self) -> list[str]:
        """Return the ids of the instances on which this process uses slots."""
        with self._lock:
            return list(self._in_use)

    def waiting_total(self) -> int:
        """Return the number of queued requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    def saturated_offers(self) -> list[SlotOffer]:
        """Return the offers that queued requests wait for because all slots are in use.

        Only the first request of each queue is considered.  Instances without any
        slot for this process are left out.
        """
        with self._lock:
            saturated = {}
            for queue in self._queues.values():
                for offer in queue[0].find_offers() if queue else ():
                    instance_id = offer.instance.instance_id
                    limit = self._limit(offer)
                    if self._in_use.get(instance_id, 0) >= limit > 0:
                        saturated[instance_id] = offer
            return list(saturated.values())

    def lend(self, offer: SlotOffer, give: Callable[[int], int]) -> int:
        """Lend free slots of an instance to another entry instance.

        Parameters
        ----------
        offer : SlotOffer
            The instance whose slots are wanted.
        give : callable
            Takes the number of free slots and returns how many it gives away.  It is
            called with the lock held, so that no request takes the slots meanwhile,
            and with 0 while requests are queued here.

        Returns
        -------
        int
            The number of slots given away.
        """
        with self._lock:
            if any(self._queues.values()):
                return give(0)
            in_use = self._in_use.get(offer.instance.instance_id, 0)
            return give(max(0, self._limit(offer) - in_use))

    def total_in_use(self) -> int:
        """Return the number of slots that this process uses on all instances."""
        with self._lock:
            return sum(self._in_use.values())

    def acquire(
        self, req: Request, find_offers: FindOffers, deadline: Deadline
    ) -> Result[Slot, Refusal]:
        """Take a slot of one of the offered instances, and wait for one if necessary.

        Parameters
        ----------
        req : Request
            The request that needs a slot.
        find_offers : callable
            Returns the instances that may serve the request at the time of the call.
        deadline : Deadline
            When to give up.

        Returns
        -------
        Result of Slot or Refusal
            The slot, which must be released exactly once, or a refusal with the
            outcome `not-run`.
        """
        service = req.service
        offers = find_offers()
        with self._lock:
            queue = self._queues.setdefault(service, deque())
            slot = None if queue else self._take_slot(offers)
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
            pause = min(deadline.remaining(), ABANDONED_CHECK_INTERVAL_SECONDS)
            if self._clock.sleep(waiter.wakeup, pause):
                break
        return self._leave_queue(req, waiter)

    def release(self, slot: Slot) -> None:
        """Return a slot and assign the free slots to queued requests."""
        with self._lock:
            remaining = self._in_use[slot.instance_id] - 1
            self._in_use[slot.instance_id] = remaining
            if not remaining:
                del self._in_use[slot.instance_id]
            self._assign_free_slots()

    def recheck(self) -> None:
        """Assign free slots to queued requests after instances or shares changed."""
        with self._lock:
            self._assign_free_slots()

    # ---- called with the lock held ----

    def _take_slot(self, offers: Sequence[SlotOffer]) -> Slot | None:
        """Take a slot of the least loaded instance, or return None if all are full."""
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

    def _assign_free_slots(self) -> None:
        for queue in self._queues.values():
            while queue:
                slot = self._take_slot(queue[0].find_offers())
                if slot is None:
                    break
                waiter = queue.popleft()
                waiter.slot = slot
                waiter.wakeup.set()

    def _enqueue(self, queue: deque[_Waiter], waiter: _Waiter) -> None:
        if len(queue) >= self._queue_length and queue:
            displaced = queue.pop()
            displaced.is_displaced = True
            displaced.wakeup.set()
        position = _count_urgent(queue) if waiter.is_urgent else len(queue)
        queue.insert(position, waiter)

    def _refuse_early(
        self,
        req: Request,
        offers: Sequence[SlotOffer],
        queue: deque[_Waiter],
        deadline: Deadline,
    ) -> Refusal | None:
        capacity = max(1, sum(self._limit(offer) for offer in offers))
        ahead = _count_urgent(queue) if req.is_urgent() else len(queue)
        expected_wait = self.run_times.mean(req.service) * (ahead + 1) / capacity
        if ahead >= self._queue_length:
            detail = f"{len(queue)} requests are already queued"
            return self._refusal(RefusalReason.POOL_FULL, detail, expected_wait)
        if expected_wait > deadline.remaining():
            detail = f"the expected wait of {expected_wait:.2f} s exceeds the deadline"
            return self._refusal(RefusalReason.DEADLINE, detail, expected_wait)
        return None

    def _refusal(self, reason: RefusalReason, detail: str, wait: float) -> Refusal:
        retry_after = wait * (1.0 + self._jitter())
        return Refusal(reason, Outcome.NOT_RUN, detail, retry_after)

    def _leave_queue(self, req: Request, waiter: _Waiter) -> Result[Slot, Refusal]:
        with self._lock:
            if waiter.slot is not None:
                return Success(waiter.slot)
            if waiter.is_displaced:
                return Failure(self._displaced_refusal(req))
            self._queues[req.service].remove(waiter)
        if req.is_abandoned():
            detail = "the caller closed the connection while the request was queued"
            return Failure(Refusal(RefusalReason.ABANDONED, Outcome.NOT_RUN, detail))
        detail = "no slot became free before the deadline"
        wait = self.run_times.mean(req.service)
        return Failure(self._refusal(RefusalReason.DEADLINE, detail, wait))

    def _displaced_refusal(self, req: Request) -> Refusal:
        detail = "displaced from the full queue by an urgent request"
        wait = self.run_times.mean(req.service) * self._queue_length
        return self._refusal(RefusalReason.POOL_FULL, detail, wait)


def _count_urgent(queue: deque[_Waiter]) -> int:
    """Return the number of urgent requests, which are at the head of the queue."""
    return sum(waiter.is_urgent for waiter in queue)
