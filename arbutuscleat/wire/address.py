"""Network addresses of processes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """The host and port that a process listens on.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"
