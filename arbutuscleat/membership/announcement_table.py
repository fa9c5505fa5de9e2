"""The announcement table: which endpoints of the data centre are alive.

Announcements stay within the data centre.  An entry instance keeps the newest one
of each endpoint, shares it with its peers, and reports it to control only if it
differs from the log.
"""

import threading
from dataclasses import dataclass

from arbutuscleat.core import Clock, Instance, InstanceState


@dataclass(frozen=True)
class Announcement:
    """The newest announcement of one endpoint.

    Parameters
    ----------
    instance : Instance
        The announced state of the endpoint.
    received_at : float
        Time of receipt in monotonic seconds of this process.
    direct : bool
        Whether the endpoint sent it to this process, not to a peer.
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
        Time without an announcement after which an endpoint is not ready.
    """

    def __init__(self, clock: Clock, expiry_seconds: float):
        self._clock = clock
        self._expiry_seconds = expiry_seconds
        self._started_at = clock.monotonic()
        self._lock = threading.Lock()
        self._announcements: dict[str, Announcement] = {}

    def update(self, instance: Instance, direct: bool = True) -> bool:
        """Store an announcement if it is newer than the one held.

        Parameters
        ----------
        instance : Instance
            The announced state of the endpoint.
        direct : bool, default=True
            Whether the endpoint sent it to this process, not to a peer.

        Returns
        -------
        bool
            Whether it was newer and has been stored.
        """
        with self._lock:
            held = self._announcements.get(instance.instance_id)
            if held is not None and instance.order() <= held.instance.order():
                return False
            self._announcements[instance.instance_id] = Announcement(
                instance, self._clock.monotonic(), direct
            )
            return True

    def get(self, instance_id: str) -> Announcement | None:
        """Return the newest announcement of an endpoint, or None if there is none."""
        return self._announcements.get(instance_id)

    def is_ready(self, instance_id: str) -> bool:
        """Return whether an endpoint is alive and accepts work."""
        held = self._announcements.get(instance_id)
        if held is None or held.instance.state is not InstanceState.READY:
            return False
        silent_seconds = self._clock.monotonic() - held.received_at
        return silent_seconds < self._expiry_seconds

    def silent_seconds(self, instance_id: str) -> float:
        """Return the seconds since the newest announcement of an endpoint.

        For an endpoint without an announcement, the time counts from the creation
        of this table.
        """
        held = self._announcements.get(instance_id)
        since = held.received_at if held is not None else self._started_at
        return self._clock.monotonic() - since

    def all(self) -> list[Announcement]:
        """Return the newest announcement of every endpoint."""
        with self._lock:
            return list(self._announcements.values())
