"""The maintainer: takes granted instances through their steps.

Every wait has a timeout that ends in a phase that an operator can see.  Times are
counted from when this control instance first saw a step, so a new leader waits
anew rather than too little.
"""

from dataclasses import dataclass

from absl import logging
from returns.result import Failure

from arbutuscleat.core import Clock, Instance, InstanceState, MaintenancePhase
from arbutuscleat.state import FleetConfiguration
from arbutuscleat.wire.gen.ttypes import AdvanceMaintenance, Command

from .drain_check import DrainCheck
from .platform import OperationKind, OperationState, Platform


@dataclass(frozen=True)
class MaintenanceLimits:
    """Bounds of each step, in seconds.

    Parameters
    ----------
    reboot_seconds : float
        Time for an instance to come back.
    soak_seconds : float
        Time for which an instance must stay well before it counts.
    ask_seconds : float
        Pause between two questions to the platform.
    """

    reboot_seconds: float = 900.0
    soak_seconds: float = 60.0
    ask_seconds: float = 1.0


@dataclass
class _Step:
    """A step of one instance, as this control instance has seen it."""

    since: float
    asked_at: float = float("-inf")


class MaintenanceController:
    """Decides on the steps of the instances that waves have taken.

    Parameters
    ----------
    platform : Platform
        What reboots instances.
    drains : DrainCheck
        Judges drained instances.
    clock : Clock
        Source of time.
    limits : MaintenanceLimits
        Bounds of each step.
    """

    def __init__(
        self,
        platform: Platform,
        drains: DrainCheck,
        clock: Clock,
        limits: MaintenanceLimits,
    ):
        self._platform = platform
        self._drains = drains
        self._clock = clock
        self._limits = limits
        self._steps: dict[tuple[str, int], _Step] = {}

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the steps that are due; asks the platform for none of them."""
        commands = []
        steps = {}
        for instance in configuration.in_transition():
            if instance.maintenance.phase is MaintenancePhase.NONE:
                continue
            key = (instance.instance_id, instance.maintenance.since_version)
            step = self._steps.get(key) or _Step(self._clock.monotonic())
            steps[key] = step
            following = self._following(instance, configuration, step)
            if following is not None:
                commands.append(_advance(instance, *following))
        self._steps = steps
        return commands

    def request_reboots(self, configuration: FleetConfiguration) -> None:
        """Ask the platform to reboot what is to be rebooted, once more if need be."""
        now = self._clock.monotonic()
        for instance in configuration.in_transition():
            if instance.maintenance.phase is not MaintenancePhase.REBOOTING:
                continue
            key = (instance.instance_id, instance.maintenance.since_version)
            step = self._steps.get(key)
            if step is None or now - step.asked_at < self._limits.ask_seconds:
                continue
            step.asked_at = now
            self._ask(instance)

    def _ask(self, instance: Instance) -> None:
        maintenance = instance.maintenance
        operation_id = (
            f"{maintenance.wave}-{maintenance.wave_version}-{instance.instance_id}"
        )
        result = self._platform.operate(
            OperationKind.REBOOT, instance.instance_id, operation_id
        )
        if isinstance(result, Failure):
            detail = result.failure().detail
            logging.warning("platform: %s: %s", instance.instance_id, detail)
        elif result.unwrap() is OperationState.FAILED:
            logging.warning("platform: %s: reboot failed", instance.instance_id)

    def _following(
        self, instance: Instance, configuration: FleetConfiguration, step: _Step
    ) -> tuple[MaintenancePhase, str] | None:
        """Return the phase that follows now, with a detail, or None."""
        phase = instance.maintenance.phase
        waited = self._clock.monotonic() - step.since
        if phase is MaintenancePhase.DRAINING:
            version = instance.maintenance.since_version
            if self._drains.is_drained(instance, configuration, version, waited):
                return MaintenancePhase.REBOOTING, ""
        elif phase is MaintenancePhase.REBOOTING:
            if _is_back(instance):
                return MaintenancePhase.SOAKING, ""
            if waited >= self._limits.reboot_seconds:
                detail = f"not back {waited:.0f} s after the reboot was asked for"
                return MaintenancePhase.FAILED, detail
        elif phase is MaintenancePhase.SOAKING:
            if instance.state is not InstanceState.READY:
                detail = f"{instance.state.value} {waited:.0f} s after it came back"
                return MaintenancePhase.FAILED, detail
            if waited >= self._limits.soak_seconds:
                return MaintenancePhase.NONE, ""
        elif phase is MaintenancePhase.FAILED and _is_back(instance):
            return MaintenancePhase.SOAKING, "came back late"
        return None


def _is_back(instance: Instance) -> bool:
    restarted = instance.incarnation != instance.maintenance.incarnation_before
    return restarted and instance.state is InstanceState.READY


def _advance(instance: Instance, phase: MaintenancePhase, detail: str) -> Command:
    maintenance = instance.maintenance
    return Command(
        advance_maintenance=AdvanceMaintenance(
            instance_id=instance.instance_id,
            wave=maintenance.wave,
            wave_version=maintenance.wave_version,
            from_phase=maintenance.phase.value,
            to_phase=phase.value,
            detail=detail,
        )
    )
