"""Addresses of processes: an IP number and a port."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"
