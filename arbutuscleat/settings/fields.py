"""Field types and sections that several settings models share."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, IPvAnyAddress

from arbutuscleat.core import ClientLimits, is_name

MIN_SECRET_LENGTH = 16


def _check_name(text: str) -> str:
    if not is_name(text):
        raise ValueError("letters, digits, '.', '_', '/', '-'; at most 63 characters")
    return text


Name = Annotated[str, AfterValidator(_check_name)]
Port = Annotated[int, Field(ge=0, le=65535)]
Secret = Annotated[str, Field(min_length=MIN_SECRET_LENGTH)]
Milliseconds = Annotated[int, Field(gt=0, le=86_400_000)]
Bytes = Annotated[int, Field(gt=0, le=64 * 1024 * 1024)]


class Section(BaseModel):
    """Base class of all sections: unknown keys are errors, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Listen(Section):
    """The address on which a process listens; port 0 selects any free port."""

    host: IPvAnyAddress
    port: Port


class Node(Section):
    """Identity and address of another process of the system."""

    node_id: Name
    host: IPvAnyAddress
    port: Annotated[int, Field(ge=1, le=65535)]


class EntryNode(Node):
    """Identity and address of another entry instance."""

    data_centre: Name


class LogSettings(Section):
    """Minimum level of the logs, which are JSON lines on standard error."""

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class TraceSettings(Section):
    """The JSON Lines file to which spans are written, and the share of sampled traces.

    Without a file no spans are written.
    """

    file: Path | None = None
    sample_ratio: Annotated[float, Field(ge=0.0, le=1.0)] = 0.05


class ClientLimitSettings(Section):
    """Limits on clients; the defaults are those of `ClientLimits`."""

    header_ms: Milliseconds = 5_000
    body_ms: Milliseconds = 30_000
    write_ms: Milliseconds = 30_000
    busy_ms: Milliseconds = 1_500
    connections: Annotated[int, Field(ge=8, le=65_536)] = 1_024
    connections_per_address: Annotated[int, Field(ge=8, le=65_536)] = 1_024
    chunk_line_bytes: Annotated[int, Field(ge=16, le=65_536)] = 256
    trailer_lines: Annotated[int, Field(ge=1, le=65_536)] = 64
    framing_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 65_536
    handshakes: Annotated[int, Field(ge=1, le=1_024)] = 128
    buffer_bytes: Annotated[int, Field(ge=65_536)] = 20 * 1024 * 1024
    receive_bytes: Annotated[int, Field(ge=4_096, le=16 * 1024 * 1024)] = 20 * 1024

    def limits(self) -> ClientLimits:
        """Return the limits with times in seconds."""
        values = {}
        for name, value in self:
            if name.endswith("_ms"):
                values[name.removesuffix("_ms") + "_seconds"] = value / 1000
            else:
                values[name] = value
        return ClientLimits(**values)


class ProcessSettings(Section):
    """Settings that all daemons share."""

    cluster: Name
    node_id: Name
    data_centre: Name
    http: Listen
    peer: Listen
    shared_key: Secret
    operators: dict[Name, Secret] = Field(default_factory=dict)
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
    http_threads: Annotated[int, Field(ge=2, le=1024)] = 32
    max_body_bytes: Bytes = 1024 * 1024
    max_header_bytes: Annotated[int, Field(ge=1024, le=1024 * 1024)] = 32 * 1024
    client_limits: ClientLimitSettings = ClientLimitSettings()
