"""Admission control under a burst, compared with two simpler policies.

These are an unbounded queue, and slots that are split evenly between two entry
instances.  One pool of 8 workers with 8 slots each is simulated in this process, with
a run time of 50 ms.  Requests arrive at a twentieth of the pool's capacity, then in a
burst at five times its capacity.  Targets: goodput during the burst of at least 0.9 of
the capacity; refusals within 50 ms at the 99th percentile; urgent jobs, a twentieth of
the requests, start within 1.8 s.
"""

import argparse
import random
import statistics
import sys
import threading
import time
from dataclasses import dataclass, field

from returns.result import Failure, Success

from arbutuscleat.core import Deadline, Instance, SystemClock
from arbutuscleat.routing import AdmissionController, Request, RunTimes, SlotOffer

WORKERS = 8
SLOTS = 8
RUN_SECONDS = 0.05
DEADLINE_SECONDS = 0.5
BURST_LOAD = 5.0  # multiples of the capacity
QUIET_LOAD = 0.05
CAPACITY_PER_SECOND = WORKERS * SLOTS / RUN_SECONDS
QUEUE_LENGTH = 256
UNBOUNDED = 1_000_000_000
URGENT_SHARE = 0.05


@dataclass
class Tally:
    """Results of the requests of one run.

    Parameters
    ----------
    served, late, refused : int
        Requests that ended before their deadline, after it, and not admitted ones.
    refusal_seconds : list of float
        Time from arrival to refusal of each refused request.
    urgent_seconds : list of float
        Time from arrival to start of each admitted urgent request.
    lock : threading.Lock
        Guards the other fields.
    """

    served: int = 0
    late: int = 0
    refused: int = 0
    refusal_seconds: list[float] = field(default_factory=list)
    urgent_seconds: list[float] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


class UnboundedAdmission(AdmissionController):
    """The first baseline: requests always queue and none is refused early."""

    def _refuse_early(self, req, offers, queue, deadline):
        return None


def make_offers(share: int, first: int, count: int) -> list[SlotOffer]:
    """Return offers of `share` slots by `count` workers, numbered from `first`."""
    offers = []
    for number in range(first, first + count):
        instance = Instance(
            *(f"w{number}", "1", "127.0.0.1", 1, "dc", "rack"),
            *({}, ("portal",), SLOTS, 64),
        )
        offers.append(SlotOffer(instance, share))
    return offers


def make_admission_controllers(
    policy: str, clock
) -> list[tuple[AdmissionController, list[SlotOffer]]]:
    """Return the admission controller of each entry instance with its offers.

    With `fixed split`, each of two entry instances has half of each worker's slots, and
    the load balancer sends three quarters of the requests to the first one.
    """
    controller_class = (
        UnboundedAdmission if policy == "unbounded queue" else AdmissionController
    )
    parts = 2 if policy == "fixed split" else 1
    return [
        (
            controller_class(
                clock,
                RunTimes(),
                UNBOUNDED if policy == "unbounded queue" else QUEUE_LENGTH,
                lambda offer: offer.share,
                random.Random(1).random,
            ),
            make_offers(SLOTS // parts, 0, WORKERS),
        )
        for _ in range(parts)
    ]


def serve(
    admission: AdmissionController, offers, clock, tally: Tally, rng: random.Random
):
    """Admit and run one request, or count its refusal."""
    deadline = Deadline.after(clock, DEADLINE_SECONDS)
    started = clock.monotonic()
    labels = {"urgent": "true"} if rng.random() < URGENT_SHARE else {}
    request = Request("portal", "GET", "/", (), b"", labels, "", DEADLINE_SECONDS)
    result = admission.acquire(request, lambda: offers, deadline)
    if isinstance(result, Failure):
        with tally.lock:
            tally.refused += 1
            tally.refusal_seconds.append(clock.monotonic() - started)
        return
    assert isinstance(result, Success)
    began = clock.monotonic()
    if request.is_urgent():
        with tally.lock:
            tally.urgent_seconds.append(began - started)
    time.sleep(RUN_SECONDS)
    admission.run_times.observe("portal", clock.monotonic() - began)
    admission.release(result.unwrap())
    with tally.lock:
        if deadline.expired():
            tally.late += 1
        else:
            tally.served += 1


def run(policy: str, seconds: float, seed: int) -> tuple[Tally, float]:
    """Send requests at the low rate for a second, then a burst.

    Parameters
    ----------
    policy : str
        Name of the policy.
    seconds : float
        Duration of the arrivals in the burst.
    seed : int
        Seed of the random arrivals.

    Returns
    -------
    tuple of Tally and float
        Results of the burst, and the seconds until its last request ended.
    """
    clock = SystemClock()
    controllers = make_admission_controllers(policy, clock)
    rng = random.Random(seed)
    tally = Tally()
    threads = []
    for rate, length in (
        (QUIET_LOAD * CAPACITY_PER_SECOND, 1.0),
        (BURST_LOAD * CAPACITY_PER_SECOND, seconds),
    ):
        tally = Tally()
        began = clock.monotonic()
        due = began
        while due < began + length:
            due += rng.expovariate(rate)
            pause = due - clock.monotonic()
            if pause > 0:
                time.sleep(pause)
            index = 0 if len(controllers) == 1 or rng.random() < 0.75 else 1
            admission, offers = controllers[index]
            thread = threading.Thread(
                target=serve, args=(admission, offers, clock, tally, rng), daemon=True
            )
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()
    return tally, clock.monotonic() - began


def main() -> int:
    """Run each policy and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    for policy in ("bounded queue", "unbounded queue", "fixed split"):
        goodput, refused, slow, late, urgent = [], [], [], [], []
        for seed in range(options.rounds):
            tally, length = run(policy, options.seconds, seed)
            total = tally.served + tally.late + tally.refused
            goodput.append(tally.served / length / CAPACITY_PER_SECOND)
            refused.append(tally.refused / total)
            late.append(tally.late / total)
            times = sorted(tally.refusal_seconds) or [0.0]
            slow.append(times[int(0.99 * (len(times) - 1))] * 1000)
            waits = sorted(tally.urgent_seconds) or [0.0]
            urgent.append(waits[int(0.99 * (len(waits) - 1))] * 1000)
        print(
            f"{policy}: goodput {statistics.median(goodput):.2f} of the capacity, "
            f"refused {statistics.median(refused):.2f}, late "
            f"{statistics.median(late):.2f}, refusals p99 "
            f"{statistics.median(slow):.1f} ms, urgent jobs started after p99 "
            f"{statistics.median(urgent):.1f} ms (medians of {options.rounds})"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
