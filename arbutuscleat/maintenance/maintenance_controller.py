"""The maintenance controller: advances granted instances through their phases.

An instance is drained, rebooted by the platform and observed while it soaks.  Every
wait has a timeout, after which the instance is in a phase that operators can see.
Timeouts start when this control instance first observes a phase.  A new leader
therefore starts them again, which makes a wait longer but never too short.
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
    """Timeouts and intervals of maintenance, in seconds.

    Parameters
    ----------
    reboot_seconds : float
        Time within which an instance must be ready again after the reboot request.
    soak_seconds : float
        Time for which a restarted instance must stay ready before it counts as
        available.
    request_interval_seconds : float
        Minimum time between two reboot requests for one instance.
    """

    reboot_seconds: float = 900.0
    soak_seconds: float = 60.0
    request_interval_seconds: float = 1.0


@dataclass
class _PhaseProgress:
    """When this control instance first saw an instance in its current phase.

    `requested_at` is the time of the last reboot request.  Both are monotonic seconds.
    """

    since: float
    requested_at: float = float("-inf")


class MaintenanceController:
    """Advances the instances that were granted to a maintenance wave.

    Parameters
    ----------
    platform : Platform
        Reboots instances.
    drain_check : DrainCheck
        Checks whether instances are drained.
    clock : Clock
        Source of time.
    limits : MaintenanceLimits
        Timeouts of the phases.
    """

    def __init__(
        self,
        platform: Platform,
        drain_check: DrainCheck,
        clock: Clock,
        limits: MaintenanceLimits,
    ):
        self._platform = platform
        self._drain_check = drain_check
        self._clock = clock
        self._limits = limits
        # By instance id and the configuration version in which the phase began.
        self._progress: dict[tuple[str, int], _PhaseProgress] = {}

    def decide(self, configuration: FleetConfiguration) -> list[Command]:
        """Return the phase changes that are due, without calling the platform."""
        commands = []
        observed = {}
        for instance in configuration.in_transition():
            if instance.maintenance.phase is MaintenancePhase.NONE:
                continue
            key = (instance.instance_id, instance.maintenance.since_version)
            progress = self._progress.get(key) or _PhaseProgress(
                self._clock.monotonic()
            )
            observed[key] = progress
            transition = self._next_phase(instance, configuration, progress)
            if transition is not None:
                commands.append(_advance(instance, *transition))
        self._progress = observed
        return commands

    def request_reboots(self, configuration: FleetConfiguration) -> None:
        """Request the reboot of every instance in phase REBOOTING.

        A request is repeated until the phase ends, since its answer may be lost.
        """
        now = self._clock.monotonic()
        for instance in configuration.in_transition():
            if instance.maintenance.phase is not MaintenancePhase.REBOOTING:
                continue
            key = (instance.instance_id, instance.maintenance.since_version)
            progress = self._progress.get(key)
            if (
                progress is None
                or now - progress.requested_at < self._limits.request_interval_seconds
            ):
                continue
            progress.requested_at = now
            self._request_reboot(instance)

    def _request_reboot(self, instance: Instance) -> None:
        maintenance = instance.maintenance
        operation_id = (
            f"{maintenance.wave}-{maintenance.wave_version}-{instance.instance_id}"
        )
        result = self._platform.operate(
            OperationKind.REBOOT, instance.instance_id, operation_id
        )
        if isinstance(result, Failure):
            detail = result.failure().detail
            logging.warning(
                "reboot request for %s failed: %s", instance.instance_id, detail
            )
        elif result.unwrap() is OperationState.FAILED:
            logging.warning(
                "platform reports a failed reboot: %s", instance.instance_id
            )

    def _next_phase(
        self,
        instance: Instance,
        configuration: FleetConfiguration,
        progress: _PhaseProgress,
    ) -> tuple[MaintenancePhase, str] | None:
        """Return the next phase and its detail, or None if no change is due."""
        phase = instance.maintenance.phase
        waited = self._clock.monotonic() - progress.since
        if phase is MaintenancePhase.DRAINING:
            version = instance.maintenance.since_version
            if self._drain_check.is_drained(instance, configuration, version, waited):
                return MaintenancePhase.REBOOTING, ""
        elif phase is MaintenancePhase.REBOOTING:
            if _has_restarted(instance):
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
        elif phase is MaintenancePhase.FAILED and _has_restarted(instance):
            return MaintenancePhase.SOAKING, "came back late"
        return None


def _has_restarted(instance: Instance) -> bool:
    """Return whether an instance is ready again after a restart."""
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
