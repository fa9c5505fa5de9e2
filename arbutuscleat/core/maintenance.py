"""Maintenance: where an instance stands within a wave."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class MaintenancePhase(str, Enum):
    """The steps of one instance through a wave."""

    NONE = "none"
    """In service."""

    DRAINING = "draining"
    """Granted: no new work, and what runs on it ends."""

    REBOOTING = "rebooting"
    """The platform was asked to reboot it."""

    SOAKING = "soaking"
    """It is back and takes work, but does not count as available yet."""

    FAILED = "failed"
    """A step took too long; the detail says which."""

    def takes_work(self) -> bool:
        """Return whether an instance in this phase may be given new work."""
        return self in (MaintenancePhase.NONE, MaintenancePhase.SOAKING)

    def is_under_way(self) -> bool:
        """Return whether a wave is at work on the instance."""
        return self not in (MaintenancePhase.NONE, MaintenancePhase.FAILED)


# Which step may follow which; the log refuses all others.
PHASE_TRANSITIONS = {
    MaintenancePhase.DRAINING: {MaintenancePhase.REBOOTING, MaintenancePhase.FAILED},
    MaintenancePhase.REBOOTING: {MaintenancePhase.SOAKING, MaintenancePhase.FAILED},
    MaintenancePhase.SOAKING: {MaintenancePhase.NONE, MaintenancePhase.FAILED},
    MaintenancePhase.FAILED: {MaintenancePhase.SOAKING},
    MaintenancePhase.NONE: set(),
}


@dataclass(frozen=True)
class Maintenance:
    """Where one instance stands.

    Parameters
    ----------
    phase : MaintenancePhase
        The step.
    wave : str
        Name of the maintenance selector that took the instance.
    wave_version : int
        Its version; a changed selector is a new wave.
    since_version : int
        Configuration version of the last step.
    incarnation_before : str
        The instance's incarnation when it was granted; another one shows that it
        has come back.
    detail : str
        Why it failed.
    maintained : mapping of str to int
        The newest version of each wave that the instance has been through.
    """

    phase: MaintenancePhase = MaintenancePhase.NONE
    wave: str = ""
    wave_version: int = 0
    since_version: int = 0
    incarnation_before: str = ""
    detail: str = ""
    maintained: Mapping[str, int] = field(default_factory=dict)

    def has_completed(self, wave: str, version: int) -> bool:
        """Return whether the instance has been through a wave."""
        return self.maintained.get(wave, 0) >= version
