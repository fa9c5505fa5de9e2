"""Team caps: which tasks of a team may start without exceeding its cap.

They answer a flood of one team: what it may use at the same time on all workers is
bounded, whatever room there is. A start leaves the team within its cap. The exception
is a team with at most half of its cap in use: it may start one task that exceeds the
cap, or a gang that never fits beside the team's lasting tasks, if all but one of its
tasks do. So a large task does not wait for ever.

A task or gang that its cap holds back keeps no capacity of any worker. Smaller tasks of
its team may pass it for some time (see `HeldSteps`).
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from absl import logging

from arbutuscleat.jobs import JobState, JobTable, Team
from arbutuscleat.jobs.task import TaskKey
from arbutuscleat.wire.gen_jobs.ttypes import StepRecord

from .held_steps import Group, HeldStep, HeldSteps
from .team_usage import Amount, TeamUsage, Usage, size_of

UNCONFIRMED_SECONDS = 5.0
"""How long starts count whose commit is not confirmed and that the table does not show.
A leader without a quorum has lost its leadership by then."""

LOG_AFTER_SECONDS = 2.0
"""Duration after which it is logged that a cap holds tasks back, and again each time it
has doubled. Most waits in a load peak are shorter."""


@dataclass(slots=True)
class TeamAccount:
    """What one team uses while a plan is made.

    Parameters
    ----------
    team : Team
        The team, as it is configured now.
    usage : Usage
        What runs in the table and starts of the plan use on all workers.
    kept : HeldStep or None
        Held-back step that smaller finite tasks of the team may not pass.
    held : dict
        Steps that the cap holds back in this plan, with the number of waiting tasks.
    """

    team: Team
    usage: Usage
    kept: HeldStep | None = None
    held: dict[Group, int] = field(default_factory=dict)

    def admits(self, step: StepRecord, count: int, group: Group) -> bool:
        """Return whether `count` more tasks of a step may start together."""
        kept = self.kept
        if kept is not None and kept.group != group and not step.long_running:
            if kept.needs_more_than(step, count, self._limits):
                return False
        return self._is_within_cap(step, count, self.usage.used)

    def will_admit(self, held: HeldStep) -> bool:
        """Return whether a step may start once the team's finite runs have ended."""
        return self._is_within_cap(held.step, held.together, self.usage.long_running)

    @property
    def _limits(self) -> Amount:
        cap = self.team.cap
        return (cap.cpu, cap.mem_mb, cap.gpu)

    def describe(self) -> str:
        """Return what is in use of each limited resource, as written in logs."""
        units = ("thousandths of a core", "MB", "accelerators")
        return ", ".join(
            f"{used} of {limit} {unit}"
            for used, limit, unit in zip(
                self.usage.used, self._limits, units, strict=True
            )
            if limit
        )

    def take_room(self, step: StepRecord, waiting: int) -> int:
        """Count waiting tasks as in use; return how many of them the cap admits."""
        together = waiting if step.gang else 1
        taken = 0
        while taken < waiting and self._is_within_cap(step, together, self.usage.used):
            self.usage.add(step, together)
            taken += together
        return taken

    def _is_within_cap(self, step: StepRecord, count: int, used: list[int]) -> bool:
        limits = self._limits
        lasting = self.usage.long_running
        for position, size in enumerate(size_of(step)):
            limit, in_use, total = limits[position], used[position], count * size
            if not limit or not size or in_use + total <= limit:
                continue
            if count > 1 and lasting[position] + total <= limit:
                return False
            if 2 * in_use > limit or in_use + total - size > limit:
                return False
        return True


class TeamCaps:
    """Accounts of the teams for one plan after another; not thread-safe.

    Parameters
    ----------
    usage : TeamUsage, optional
        What the runs in the table use, to be brought up to date.

    Attributes
    ----------
    usage : TeamUsage
        The same.
    accounts : dict of str to TeamAccount
        Accounts of the teams that the plan has looked at so far, by name.
    """

    def __init__(self, usage: TeamUsage | None = None) -> None:
        self.usage = TeamUsage() if usage is None else usage
        self.accounts: dict[str, TeamAccount] = {}
        self._teams: Mapping[str, Team] = {}
        self._now = 0.0
        self._held_steps = HeldSteps()
        self._unconfirmed: dict[TaskKey, _Start] = {}
        self._holds: dict[str, _Hold] = {}

    def begin_plan(self, table: JobTable, now: float) -> None:
        """Count what the teams use; called at the beginning of each plan.

        Parameters
        ----------
        table : JobTable
            The job table; the caller holds its lock.
        now : float
            Monotonic time in seconds.
        """
        self._log_holds(now)
        self.accounts = {}
        self._teams = {} if table.config is None else table.config.teams
        if not self._teams:
            self.usage.clear()
            self._held_steps = HeldSteps()
            self._unconfirmed.clear()
            return
        self.usage.observe(table)
        self._held_steps.begin_plan(table.active, now)
        self._now = now
        self._unconfirmed = {
            key: start
            for key, start in self._unconfirmed.items()
            if start.may_be_applied(table, key, now)
        }
        for start in self._unconfirmed.values():
            account = self._account(start.team)
            if account is not None:
                account.usage.add(start.step, 1)

    def confirm_starts(self) -> None:
        """Record that the starts of the latest plan are committed.

        Entries are applied in the order of the log, so the table shows all starts that
        were proposed before as well.
        """
        self._unconfirmed.clear()

    def account_of(self, job: JobState) -> TeamAccount | None:
        """Return the account of a job's team; None if nothing limits the job.

        That is so for jobs of public queues and of teams that are no longer configured.
        """
        team = job.record.team
        return None if team is None else self._account(team)

    def _account(self, name: str) -> TeamAccount | None:
        account = self.accounts.get(name)
        if account is None and name in self._teams:
            account = TeamAccount(self._teams[name], self.usage.of_team(name))
            account.kept = self._held_steps.kept(name, account.will_admit, self._now)
            self.accounts[name] = account
        return account

    @property
    def has_teams(self) -> bool:
        """Whether the configuration has teams."""
        return bool(self._teams)

    def hold(
        self,
        account: TeamAccount,
        step: StepRecord,
        group: Group,
        waiting: int,
        now: float,
    ) -> None:
        """Record that the cap holds back a step.

        Parameters
        ----------
        account : TeamAccount
            The account of the team.
        step : StepRecord
            The step.
        group : tuple of str, int and int
            The job, occurrence and step.
        waiting : int
            Number of its waiting tasks.
        now : float
            Monotonic time in seconds.
        """
        account.held[group] = waiting
        together = waiting if step.gang else 1
        held = HeldStep(account.team.name, step, group, together, now)
        self._held_steps.add(held)

    def record_start(
        self,
        account: TeamAccount,
        step: StepRecord,
        key: TaskKey,
        number: int,
        now: float,
    ) -> None:
        """Record that a plan starts run `number` of a task."""
        account.usage.add(step, 1)
        self._held_steps.remove(key[:3], now)
        self._unconfirmed[key] = _Start(account.team.name, step, number, now)

    def _log_holds(self, now: float) -> None:
        """Log which teams their caps have held back for long, by the latest plan."""
        former, self._holds = self._holds, {}
        for name, account in self.accounts.items():
            if not account.held:
                continue
            hold = former.get(name) or _Hold(now, now + LOG_AFTER_SECONDS)
            self._holds[name] = hold
            if now >= hold.log_at:
                age = now - hold.since
                hold.log_at = now + age
                logging.info(
                    "team %s: its cap holds back %d tasks of %d steps, for %.1f s: %s",
                    name,
                    sum(account.held.values()),
                    len(account.held),
                    age,
                    account.describe(),
                )

    def held(self) -> dict[Group, str]:
        """Return the steps held back in the latest plan, with the name of the team."""
        return {
            group: name
            for name, account in self.accounts.items()
            for group in account.held
        }


@dataclass(slots=True)
class _Hold:
    """Since when a cap holds back tasks of its team, and when to log it again."""

    since: float
    log_at: float


@dataclass(frozen=True, slots=True)
class _Start:
    """A start that was planned at monotonic time `at` in seconds."""

    team: str
    step: StepRecord
    number: int
    at: float

    def may_be_applied(self, table: JobTable, key: TaskKey, now: float) -> bool:
        """Return whether the start has yet to be applied to the table."""
        job = table.active.get(key.job_id)
        task = None if job is None else job.task(key)
        if task is None or task.number >= self.number:
            return False
        return now - self.at < UNCONFIRMED_SECONDS
