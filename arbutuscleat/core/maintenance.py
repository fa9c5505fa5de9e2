"""Maintenance: the progress of an instance in a maintenance wave."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class MaintenancePhase(str, Enum):
    """Phase of an instance in a maintenance wave."""

    NONE = "none"
    """No maintenance in progress; the instance is in service."""

    DRAINING = "draining"
    """Granted: the instance accepts no new work and finishes its current work."""

    REBOOTING = "rebooting"
    """The platform has been requested to reboot the instance."""

    SOAKING = "soaking"
    """Restarted: it accepts work, but does not count as available yet."""

    FAILED = "failed"
    """Not back in time, or not ready while soaking; the detail says which."""

    def takes_work(self) -> bool:
        """Return whether new work may be dispatched to an instance in this phase."""
        return self in (MaintenancePhase.NONE, MaintenancePhase.SOAKING)

    def is_under_way(self) -> bool:
        """Return whether a wave is processing the instance in this phase."""
        return self not in (MaintenancePhase.NONE, MaintenancePhase.FAILED)


# The phases that may follow each phase; the log rejects other transitions.
PHASE_TRANSITIONS = {
    MaintenancePhase.DRAINING: {MaintenancePhase.REBOOTING, MaintenancePhase.FAILED},
    MaintenancePhase.REBOOTING: {MaintenancePhase.SOAKING, MaintenancePhase.FAILED},
    MaintenancePhase.SOAKING: {MaintenancePhase.NONE, MaintenancePhase.FAILED},
    MaintenancePhase.FAILED: {MaintenancePhase.SOAKING},
    MaintenancePhase.NONE: set(),
}


@dataclass(frozen=True)
class Maintenance:
    """Progress of one instance in a maintenance wave.

    Parameters
    ----------
    phase : MaintenancePhase
        The current phase.
    wave : str
        Name of the maintenance selector under which the instance was last granted.
    wave_version : int
        Version of that selector; a changed selector defines a new wave.
    since_version : int
        Configuration version of the last change of phase.
    incarnation_before : str
        Incarnation of the instance when it was granted; a different one shows that
        the instance has restarted.
    detail : str
        Why the phase was entered, for example why maintenance failed.
    maintained : mapping of str to int
        The newest version of each wave that the instance has completed.
    """

    phase: MaintenancePhase = MaintenancePhase.NONE
    wave: str = ""
    wave_version: int = 0
    since_version: int = 0
    incarnation_before: str = ""
    detail: str = ""
    maintained: Mapping[str, int] = field(default_factory=dict)

    def has_completed(self, wave: str, version: int) -> bool:
        """Return whether the instance has completed a version of a wave."""
        return self.maintained.get(wave, 0) >= version
