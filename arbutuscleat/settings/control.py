"""Settings of `arbutuscleat-control`."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from .fields import Milliseconds, Node, ProcessSettings, Secret, Section


class ConsensusSettings(Section):
    """Timing and snapshots of the consensus group."""

    heartbeat_ms: Milliseconds = 500
    election_ms: Milliseconds = 1_500
    election_spread: Annotated[float, Field(ge=1.0, le=10.0)] = 1.5
    snapshot_entries: Annotated[int, Field(ge=16, le=1_000_000)] = 4_096

    @model_validator(mode="after")
    def _check_order(self) -> "ConsensusSettings":
        if self.election_ms < 2 * self.heartbeat_ms:
            raise ValueError("election_ms must be at least twice heartbeat_ms")
        return self


class PlatformSettings(Section):
    """Address and credentials of the platform that reboots instances."""

    url: Annotated[str, Field(pattern=r"^https?://[^/]+")]
    token: Secret


class MaintenanceSettings(Section):
    """Limits of maintenance waves and of moves between pools."""

    drain_ms: Milliseconds = 120_000
    reboot_ms: Milliseconds = 900_000
    soak_ms: Milliseconds = 60_000
    reserve: Annotated[int, Field(ge=0, le=100)] = 1


class ControlSettings(ProcessSettings):
    """Settings of one control instance."""

    data_folder: Path
    replicas: Annotated[list[Node], Field(min_length=1, max_length=9)]
    consensus: ConsensusSettings = ConsensusSettings()
    lease_ms: Milliseconds = 2_500
    margin_ms: Milliseconds = 300
    claim_retention_ms: Milliseconds = 7_200_000
    platform: PlatformSettings | None = None
    maintenance: MaintenanceSettings = MaintenanceSettings()

    @model_validator(mode="after")
    def _check_replicas(self) -> "ControlSettings":
        names = [replica.node_id for replica in self.replicas]
        if len(set(names)) != len(names):
            raise ValueError("replicas: a node_id occurs twice")
        if self.node_id not in names:
            raise ValueError(f"replicas: node_id {self.node_id!r} is missing")
        return self
