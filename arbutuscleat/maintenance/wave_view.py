"""The view of a wave: its progress and the reason why it is paused.

A wave is a maintenance selector and has no other state.  Its progress is derived from
the replicated instances, so it survives a change of leader.
"""

from dataclasses import dataclass

from arbutuscleat.core import (
    Instance,
    MaintenancePhase,
    SelectorPurpose,
    SelectorRule,
    parse_selector,
)
from arbutuscleat.state import FleetConfiguration

MIN_CANARY_SUCCESSES = 1
"""A failure before this many successes is one of the canary and pauses the wave."""

GROWTH_FACTOR = 10
"""Instances that may be in progress for each success so far."""

MIN_FAILURES_TO_PAUSE = 2
MAX_FAILED_SHARE = 0.25
"""Failures pause a wave if there are at least `MIN_FAILURES_TO_PAUSE` and their share
of the finished instances is above this one."""


@dataclass(frozen=True)
class WaveView:
    """A wave and the progress of its instances in one configuration version.

    Parameters
    ----------
    rule : SelectorRule
        The maintenance selector that defines the wave.
    done, under_way, failed, waiting : tuple of Instance
        Its instances, grouped by progress.
    """

    rule: SelectorRule
    done: tuple[Instance, ...]
    under_way: tuple[Instance, ...]
    failed: tuple[Instance, ...]
    waiting: tuple[Instance, ...]

    def paused_because(self) -> str:
        """Return why the wave grants no more instances; empty if it is not paused."""
        failures = len(self.failed)
        if not failures:
            return ""
        if len(self.done) < MIN_CANARY_SUCCESSES:
            return f"the canary {self.failed[0].instance_id} has failed"
        share = failures / (failures + len(self.done))
        if failures >= MIN_FAILURES_TO_PAUSE and share > MAX_FAILED_SHARE:
            return f"{failures} instances have failed, {share:.0%} of those finished"
        return ""

    def is_over(self) -> bool:
        """Return whether no instance is in progress or waiting."""
        return not self.under_way and not self.waiting

    def max_concurrent(self) -> int:
        """Return how many instances may be in progress at the same time.

        The limit is one canary at first, and grows with the number of successes.  A
        soaking instance counts as a success here, although it does not yet count as
        available for the budget of its pool.
        """
        soaking = sum(
            instance.maintenance.phase is MaintenancePhase.SOAKING
            for instance in self.under_way
        )
        return max(1, GROWTH_FACTOR * (len(self.done) + soaking))


def view_wave(rule: SelectorRule, configuration: FleetConfiguration) -> WaveView:
    """Return the progress of a wave.

    Parameters
    ----------
    rule : SelectorRule
        The maintenance selector that defines the wave.
    configuration : FleetConfiguration
        The configuration with the instances.

    Returns
    -------
    WaveView
        The instances that the wave matches or has in progress, by their progress.
    """
    selector = parse_selector(rule.instances)
    groups: dict[str, list[Instance]] = {
        "done": [],
        "under_way": [],
        "failed": [],
        "waiting": [],
    }
    for instance in configuration.instances.values():
        if _is_processed_by(instance, rule):
            phase = instance.maintenance.phase
            is_failed = phase is MaintenancePhase.FAILED
            groups["failed" if is_failed else "under_way"].append(instance)
        elif selector.matches(configuration.instance_labels(instance)):
            done = instance.maintenance.has_completed(rule.name, rule.version)
            groups["done" if done else "waiting"].append(instance)
    return WaveView(rule, **{name: tuple(found) for name, found in groups.items()})


def waves(configuration: FleetConfiguration) -> list[SelectorRule]:
    """Return the maintenance selectors, oldest first."""
    found = [
        rule
        for rule in configuration.selectors.values()
        if rule.purpose is SelectorPurpose.MAINTENANCE
    ]
    return sorted(found, key=lambda rule: rule.version)


def _is_processed_by(instance: Instance, rule: SelectorRule) -> bool:
    """Return whether a wave has an instance in progress or failed on it."""
    maintenance = instance.maintenance
    if maintenance.phase is MaintenancePhase.NONE:
        return False
    return (maintenance.wave, maintenance.wave_version) == (rule.name, rule.version)
