"""Settings of `arbutuscleat-entry`."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from .fields import (
    Bytes,
    EntryNode,
    Milliseconds,
    Name,
    Node,
    ProcessSettings,
    Secret,
    Section,
)

Method = Annotated[str, Field(pattern="^(GET|HEAD|PUT|DELETE|POST|PATCH|OPTIONS)$")]


class ServiceSettings(Section):
    """Properties of the requests of a service."""

    idempotent_methods: list[Method] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]


class LimitSettings(Section):
    """Limits on each request."""

    default_timeout_ms: Milliseconds = 10_000
    max_timeout_ms: Milliseconds = 120_000
    connect_timeout_ms: Milliseconds = 500
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 64
    max_answer_bytes: Bytes = 8 * 1024 * 1024
    control_timeout_ms: Milliseconds = 4_000


class AnnouncementSettings(Section):
    """How often endpoints announce themselves, and when an announcement expires."""

    interval_ms: Milliseconds = 1_000
    expiry_ms: Milliseconds = 5_000

    @model_validator(mode="after")
    def _check_order(self) -> "AnnouncementSettings":
        if self.expiry_ms < 2 * self.interval_ms:
            raise ValueError("expiry_ms must be at least twice interval_ms")
        return self


class EntrySettings(ProcessSettings):
    """Settings of one entry instance."""

    data_folder: Path | None = None
    endpoint_token: Secret
    control: Annotated[list[Node], Field(min_length=1, max_length=9)]
    peers: list[EntryNode] = []
    services: dict[Name, ServiceSettings] = Field(default_factory=dict)
    limits: LimitSettings = LimitSettings()
    announcements: AnnouncementSettings = AnnouncementSettings()
    lease_ms: Milliseconds = 2_500

    @model_validator(mode="after")
    def _check_peers(self) -> "EntrySettings":
        names = [peer.node_id for peer in self.peers]
        if len(set(names)) != len(names):
            raise ValueError("peers: a node_id occurs twice")
        if self.node_id in names:
            raise ValueError(f"peers: {self.node_id!r} is the node_id of this instance")
        return self
