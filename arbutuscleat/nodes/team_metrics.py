"""Gauges of teams: what they use, may use, and have waiting because of their cap."""

from collections import Counter
from collections.abc import Iterable

from arbutuscleat.jobs import JobTable
from arbutuscleat.metrics import labelled
from arbutuscleat.scheduling import StepWait, TeamUsage

MAX_TEAMS = 100
"""Number of teams with gauges of their own, the first ones of the configuration. It
bounds what a monitoring system has to store."""

_RESOURCES = ("cpu_millicores", "mem_mb", "gpu")


def team_gauges(table: JobTable, waits: Iterable[StepWait]) -> dict[str, float]:
    """Return the gauges of all teams by labelled name.

    Parameters
    ----------
    table : JobTable
        The job table; the caller holds its lock.
    waits : iterable of StepWait
        The steps with waiting tasks; only the leader knows them.
    """
    if table.config is None or not table.config.teams:
        return {}
    usage = TeamUsage()
    usage.observe(table)
    workers = table.workers.values()
    totals = (
        sum(worker.cpu for worker in workers),
        sum(worker.mem_mb for worker in workers),
        sum(worker.gpu for worker in workers),
    )
    held: Counter[str] = Counter()
    for wait in waits:
        held[wait.capped_team] += wait.task_count
    gauges: dict[str, float] = {}
    for name, team in list(table.config.teams.items())[:MAX_TEAMS]:
        used = usage.of_team(name).used
        shares = [
            part / total for part, total in zip(used, totals, strict=True) if total
        ]
        gauges[labelled("team_dominant_share", team=name)] = max(shares, default=0.0)
        gauges[labelled("team_weight", team=name)] = team.weight
        gauges[labelled("team_tasks_held_by_cap", team=name)] = held[name]
        limits = (team.cap.cpu, team.cap.mem_mb, team.cap.gpu)
        for resource, part, limit in zip(_RESOURCES, used, limits, strict=True):
            labels = {"team": name, "resource": resource}
            gauges[labelled("team_used", **labels)] = part
            gauges[labelled("team_cap", **labels)] = limit
    return gauges
