"""The announcement table: which endpoints of the data centre are alive.

Announcements end at the data centre.  An entry instance keeps the newest one of
each endpoint, shares it with its peers, and reports to control only what differs
from the log.
"""

import threading
from dataclasses import dataclass

from arbutuscleat.core import Clock, Instance, InstanceState


@dataclass(frozen=True)
class Announcement:
    """The newest word of one endpoint.

    Parameters
    ----------
    instance : Instance
        What the endpoint announced.
    received_at : float
        Monotonic seconds of this process.
    direct : bool
        Whether the endpoint announced itself here, not at a peer.
    """

    instance: Instance
    received_at: float
    direct: bool


class AnnouncementTable:
    """The newest announcement of each endpoint.

    Parameters
    ----------
    clock : Clock
        Source of time.
    expiry_seconds : float
        Silence after which an endpoint gets no work.
    """

    def __init__(self, clock: Clock, expiry_seconds: float):
        self._clock = clock
        self._expiry_seconds = expiry_seconds
        self._started_at = clock.monotonic()
        self._lock = threading.Lock()
        self._announcements: dict[str, Announcement] = {}

    def update(self, instance: Instance, direct: bool = True) -> bool:
        """Take an announcement; return whether it was newer than the one held."""
        with self._lock:
            held = self._announcements.get(instance.instance_id)
            if held is not None and instance.order() <= held.instance.order():
                return False
            self._announcements[instance.instance_id] = Announcement(
                instance, self._clock.monotonic(), direct
            )
            return True

    def get(self, instance_id: str) -> Announcement | None:
        """Return the newest announcement of an endpoint, or None."""
        return self._announcements.get(instance_id)

    def is_ready(self, instance_id: str) -> bool:
        """Return whether an endpoint is alive and not leaving."""
        held = self._announcements.get(instance_id)
        if held is None or held.instance.state is not InstanceState.READY:
            return False
        silent_seconds = self._clock.monotonic() - held.received_at
        return silent_seconds < self._expiry_seconds

    def silent_seconds(self, instance_id: str) -> float:
        """Return the seconds since an endpoint was heard, or since the start here."""
        held = self._announcements.get(instance_id)
        since = held.received_at if held is not None else self._started_at
        return self._clock.monotonic() - since

    def all(self) -> list[Announcement]:
        """Return the newest announcements of all endpoints."""
        with self._lock:
            return list(self._announcements.values())
