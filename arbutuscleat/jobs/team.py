"""Teams: groups of callers that share the fleet, and the keys that identify them.

Only digests of keys leave the parser of the configuration. A digest is all that an
entry instance sends, and all that is compared; logs and metrics name the team.
"""

import hashlib
import hmac
from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Capacity:
    """An amount of each resource.

    Parameters
    ----------
    cpu : int
        CPU in thousandths of a core.
    mem_mb : int
        Memory in MB.
    gpu : int
        Number of accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


@dataclass(frozen=True, slots=True)
class Team:
    """A group of callers with keys of its own.

    Parameters
    ----------
    name : str
        Unique within a version of the configuration.
    key_digests : frozenset of bytes
        Digests of the keys that identify the team's callers.
    weight : float
        Share of the fleet while it is full, relative to the weights of the other teams,
        and the number of jobs a second that the team may expect to be served.
    cap : Capacity
        Most that the tasks of the team may use at the same time on all workers
        together; 0 means no limit.
    priority : int
        Priority of the team; 0 is the highest. No decision uses it yet.
    """

    name: str
    key_digests: frozenset[bytes]
    weight: float = 1.0
    cap: Capacity = Capacity()
    priority: int = 0


def key_digest(key: str | bytes) -> bytes:
    """Return the digest of a key or of its UTF-8 bytes: SHA-256 (FIPS 180-4)."""
    data = key.encode() if isinstance(key, str) else key
    return hashlib.sha256(data).digest()


class KeyIndex:
    """Finds the team that a key belongs to.

    Parameters
    ----------
    teams : iterable of Team
        All teams of one version of the configuration; no two share a key.
    """

    def __init__(self, teams: Iterable[Team]):
        self._teams: Mapping[bytes, tuple[bytes, Team]] = {
            digest: (digest, team) for team in teams for digest in team.key_digests
        }

    def find(self, digest: bytes | None) -> Team | None:
        """Return the team with the key of this digest, or None if there is none.

        The hash table compares digests, which a caller cannot choose; the last
        comparison takes the same time for all of them.
        """
        if digest is None:
            return None
        stored, team = self._teams.get(digest, (b"", None))
        return team if hmac.compare_digest(stored, digest) else None
