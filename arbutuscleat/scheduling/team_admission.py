"""Admission control for teams that share the fleet.

Answers the load of one team that sends several times its usual while the others send
theirs. Jobs within the rate of their team are judged against the work that goes before
them, which the excess of other teams is no part of. Jobs beyond it are accepted as long
as they would meet their objective, so that nothing is rejected while there is room.
"""

from collections.abc import Sequence
from copy import copy
from dataclasses import dataclass, replace

from arbutuscleat.jobs import Capacity, Queue, Team
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .admission import EXPIRY_FACTOR, FleetCapacity, RejectionCause
from .objective import critical_path_ms
from .team_backlog import TeamBacklog
from .work import Work, work_of

MIN_SPARE_SHARE = 0.1
"""Least share of a service's workers that counts as left for work beyond the rates. It
bounds the retry time while the arriving work alone exceeds the workers: such a surplus
lasts for seconds, since it draws machines from other services."""


@dataclass(frozen=True, slots=True)
class TeamRejection:
    """Why a job of a team is rejected, and when there would be room for it.

    Parameters
    ----------
    cause : RejectionCause
        What the job exceeds.
    reason : str
        Explanation for the caller.
    excess_ms : float
        Time after which the wait has become short enough, in milliseconds.
    interval_ms : float
        Time that the job itself would add to the wait, in milliseconds: the least time
        between it and the next rejected job that comes back.
    """

    cause: RejectionCause
    reason: str
    excess_ms: float
    interval_ms: float


def check_team_wait(
    steps: Sequence[StepRecord],
    queue: Queue,
    team: Team | None,
    over_rate: bool,
    backlog: TeamBacklog,
    fleet: FleetCapacity | None,
    arriving_cpu: float = 0.0,
) -> TeamRejection | None:
    """Reject a job of a team that cannot be served in time.

    A job within its team's rate is rejected if it would lose its value even if every
    machine worked for what is ahead of it. A job beyond it is rejected if it would miss
    its objective with the workers that the service has now. Either is rejected for
    the work of its own team alone, if the team's cap does not let it be done in time;
    the work that waits for a cap delays no other team.

    Parameters
    ----------
    steps : sequence of StepRecord
        Steps of the submitted job.
    queue : Queue
        Queue that the job is submitted to.
    team : Team or None
        The team that submits it; None on a queue without keys.
    over_rate : bool
        Whether the team has already sent what it may expect to be served.
    backlog : TeamBacklog
        Work ahead, by service and team.
    fleet : FleetCapacity or None
        Capacity of all machines; None if it is unknown.
    arriving_cpu : float, default=0.0
        CPU that the service needs for the work that arrives within the rates of teams,
        in thousandths of a core. What is beyond a rate is done with the rest.

    Returns
    -------
    TeamRejection or None
        The rejection, or None if the job may be accepted.
    """
    if fleet is None or not fleet.cpu or any(step.long_running for step in steps):
        return None
    cap = Capacity() if team is None else team.cap
    chain_ms = critical_path_ms(_steps_under_cap(steps, cap))
    objective_ms = queue.stretch * chain_ms + queue.target_latency_ms
    left_ms = (1 if over_rate else EXPIRY_FACTOR) * objective_ms - chain_ms
    work = work_of(steps)
    own = Work() if team is None else backlog.of_team(team.name)
    usable = replace(cap, cpu=min(cap.cpu, fleet.cpu))
    cap_wait_ms = drain_ms(own, usable)
    if cap_wait_ms > left_ms:
        return TeamRejection(
            RejectionCause.CAP,
            f"its team's work would take {cap_wait_ms / 1000:.1f} s within its cap",
            cap_wait_ms - left_ms,
            drain_ms(work, usable),
        )
    if over_rate:
        return _check_room(
            work, left_ms, queue.service_name, backlog, fleet, arriving_cpu
        )
    name = None if team is None else team.name
    wait_ms = backlog.ahead_wait_ms(queue.service_name, name, fleet.cpu)
    if wait_ms <= left_ms:
        return None
    return TeamRejection(
        RejectionCause.WAIT,
        f"it would wait at least {wait_ms / 1000:.1f} s and have no value by then",
        wait_ms - left_ms,
        work.cpu / fleet.cpu,
    )


def _check_room(
    work: Work,
    left_ms: float,
    service_name: str,
    backlog: TeamBacklog,
    fleet: FleetCapacity,
    arriving_cpu: float,
) -> TeamRejection | None:
    """Reject a job beyond its team's rate unless its service has room for it."""
    cpu = backlog.pool_cpu[service_name] or fleet.cpu
    wait_ms = backlog.total_wait_ms(service_name, cpu)
    if wait_ms <= left_ms:
        return None
    spare_cpu = max(cpu - arriving_cpu, MIN_SPARE_SHARE * cpu)
    return TeamRejection(
        RejectionCause.RATE,
        f"its team is over its rate, and it would wait {wait_ms / 1000:.1f} s",
        (wait_ms - left_ms) * cpu / spare_cpu,
        work.cpu / spare_cpu,
    )


def drain_ms(work: Work, cap: Capacity) -> float:
    """Return the time that some work takes within a cap, in milliseconds.

    A resource without a limit takes no time.
    """
    return max(
        amount / limit if limit else 0.0
        for amount, limit in zip(work, (cap.cpu, cap.mem_mb, cap.gpu))
    )


def _steps_under_cap(
    steps: Sequence[StepRecord], cap: Capacity
) -> Sequence[StepRecord]:
    """Return steps that last as long as their waves, where a cap makes them take turns.

    A task larger than the cap counts as the only one of its wave.
    """
    if cap == Capacity():
        return steps
    found = []
    for step in steps:
        sizes = (0 if step.fills else step.cpu, step.mem_mb, step.gpu)
        limits = (cap.cpu, cap.mem_mb, cap.gpu)
        width = min(
            (
                max(1, limit // size)
                for size, limit in zip(sizes, limits)
                if size and limit
            ),
            default=step.count,
        )
        slower = copy(step)
        slower.estimated_ms = step.estimated_ms * -(-step.count // width)
        found.append(slower)
    return found
