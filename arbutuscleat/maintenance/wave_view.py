"""The view of a wave: how far it has come and why it waits.

A wave is a maintenance selector, nothing else; its progress is read off the
instances, so it survives every change of leader.
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

CANARY_SUCCESSES = 1
GROWTH = 10
FAILURES_THAT_PAUSE = 2
FAILED_SHARE_THAT_PAUSES = 0.25


@dataclass(frozen=True)
class WaveView:
    """One wave at one moment.

    Parameters
    ----------
    rule : SelectorRule
        The selector that is the wave.
    done, under_way, failed, waiting : tuple of Instance
        The instances that it matches, by how far they are.
    """

    rule: SelectorRule
    done: tuple[Instance, ...]
    under_way: tuple[Instance, ...]
    failed: tuple[Instance, ...]
    waiting: tuple[Instance, ...]

    def paused_because(self) -> str:
        """Return why the wave takes no more instances; empty when it goes on."""
        failures = len(self.failed)
        if not failures:
            return ""
        if len(self.done) < CANARY_SUCCESSES:
            return f"the canary {self.failed[0].instance_id} has failed"
        share = failures / (failures + len(self.done))
        if failures >= FAILURES_THAT_PAUSE and share > FAILED_SHARE_THAT_PAUSES:
            return f"{failures} instances have failed, {share:.0%} of those finished"
        return ""

    def is_over(self) -> bool:
        """Return whether nothing is left to do."""
        return not self.under_way and not self.waiting

    def allowed_at_once(self) -> int:
        """Return how many instances may be under way: one canary, then growing.

        An instance that is back and soaking counts as a success here, though not
        yet for the budget of its pool.
        """
        soaking = sum(
            instance.maintenance.phase is MaintenancePhase.SOAKING
            for instance in self.under_way
        )
        return max(1, GROWTH * (len(self.done) + soaking))


def view_wave(rule: SelectorRule, configuration: FleetConfiguration) -> WaveView:
    """Return the view of a wave."""
    selector = parse_selector(rule.instances)
    groups: dict[str, list[Instance]] = {
        "done": [],
        "under_way": [],
        "failed": [],
        "waiting": [],
    }
    for instance in configuration.instances.values():
        if _is_of(instance, rule):
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


def _is_of(instance: Instance, rule: SelectorRule) -> bool:
    maintenance = instance.maintenance
    if maintenance.phase is MaintenancePhase.NONE:
        return False
    return (maintenance.wave, maintenance.wave_version) == (rule.name, rule.version)
