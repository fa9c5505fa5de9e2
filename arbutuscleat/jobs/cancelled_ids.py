"""Ids that were cancelled while no job had them.

A submission can be under way for as long as the processes on its path are suspended. A
cancellation that overtakes it finds no job. Its id is kept here, so that the submission
is refused once it arrives.

Any client can cancel any number of ids, so their number is limited. The limit of each
owner falls as the others keep more (dynamic thresholds, Choudhury and Hahne 1998): one
that takes all it can leaves as much to the others.
"""

from collections.abc import Iterable, Iterator
from itertools import takewhile
from typing import NamedTuple

from arbutuscleat.wire.gen_jobs.ttypes import CancelledIdsImage, JobRecord

CANCELLED_IDS_KEPT_MS = 150_000
"""How long a cancelled id is kept: as long as an ended job, which refuses a submission
that is under way in the same manner."""

MIN_KEPT_MS = 60_000
"""How long an id is kept from each answer on. Callers wait for 3 s and a suspended
process wakes after some seconds, so that a submission is not under way for longer."""

MAX_CANCELLED_IDS = 10_000
"""Ids kept: 2 MB in memory, and 0.3 MB in the snapshot."""


class JobOwner(NamedTuple):
    """To whom an id belongs: each queue and team has ids of its own.

    Parameters
    ----------
    host, path_prefix : str
        Of the queue.
    team : str or None
        The team whose key came with the call; None on a queue that needs none.
    """

    host: str
    path_prefix: str
    team: str | None

    def may_access(self, record: JobRecord) -> bool:
        """Return whether a job of the queue is one of this team.

        Without a team on either side the owners cannot be told apart.
        """
        return None in (self.team, record.team) or self.team == record.team

    def may_submit(self, record: JobRecord) -> bool:
        """Return whether a job comes from this team, and to this queue."""
        is_here = (record.host, record.path_prefix) == (self.host, self.path_prefix)
        return is_here and self.may_access(record)


class CancelledIds:
    """The ids that were cancelled while no job had them, as part of the job table.

    All times are Unix milliseconds in entries of the log, so that every replica keeps
    the same ids.
    """

    def __init__(self) -> None:
        self._owners: dict[JobOwner, dict[str, int]] = {}
        """When each id was cancelled, the earliest first."""

    def __len__(self) -> int:
        """Return the number of ids that are kept."""
        return sum(map(len, self._owners.values()))

    def refuses(self, record: JobRecord) -> bool:
        """Return whether a submitted job has been cancelled already."""
        for owner, ids in self._owners.items():
            at_ms = ids.get(record.job_id)
            if at_ms is None or not owner.may_submit(record):
                continue
            if record.accepted_at_ms - at_ms < CANCELLED_IDS_KEPT_MS:
                return True
        return False

    def is_kept(self, owner: JobOwner, job_id: str, now_ms: int) -> bool:
        """Return whether an id is kept for `MIN_KEPT_MS` from now on."""
        at_ms = self._owners.get(owner, {}).get(job_id)
        if at_ms is None:
            return False
        return now_ms - at_ms <= CANCELLED_IDS_KEPT_MS - MIN_KEPT_MS

    def has_room(self, owner: JobOwner, job_id: str, now_ms: int) -> bool:
        """Return whether an id can be added."""
        ids = self._owners.get(owner, {})
        if job_id in ids:
            return True
        held = sum(_count_kept(item, now_ms) for item in self._owners.values())
        return _count_kept(ids, now_ms) < MAX_CANCELLED_IDS - held

    def add(self, owner: JobOwner, job_id: str, now_ms: int) -> bool:
        """Keep an id from now on; return False if there is no room for it."""
        self._forget(now_ms)
        if not self.has_room(owner, job_id, now_ms):
            return False
        ids = self._owners.setdefault(owner, {})
        ids.pop(job_id, None)
        ids[job_id] = now_ms
        return True

    def retry_after_ms(self, now_ms: int) -> int:
        """Return the time until the earliest id is forgotten, in milliseconds."""
        firsts = [next(iter(ids.values())) for ids in self._owners.values()]
        return max(0, min(firsts, default=0) + CANCELLED_IDS_KEPT_MS - now_ms)

    def to_images(self) -> list[CancelledIdsImage]:
        """Return the ids in their snapshot format."""
        return [
            CancelledIdsImage(
                host=owner.host,
                path_prefix=owner.path_prefix,
                team=owner.team,
                job_ids=list(ids),
                at_ms=list(ids.values()),
            )
            for owner, ids in self._owners.items()
        ]

    def restore(self, images: Iterable[CancelledIdsImage]) -> None:
        """Replace the ids by those of a snapshot."""
        self._owners = {
            JobOwner(item.host, item.path_prefix, item.team): dict(
                zip(item.job_ids, item.at_ms, strict=True)
            )
            for item in images
        }

    def _forget(self, now_ms: int) -> None:
        """Forget the ids whose time is over, and the owners without others."""
        for owner, ids in list(self._owners.items()):
            for job_id in list(_ids_over(ids, now_ms)):
                del ids[job_id]
            if not ids:
                del self._owners[owner]


def _ids_over(ids: dict[str, int], now_ms: int) -> Iterator[str]:
    """Yield the earliest ids, whose time is over."""
    oldest = now_ms - CANCELLED_IDS_KEPT_MS
    return takewhile(lambda job_id: ids[job_id] <= oldest, ids)


def _count_kept(ids: dict[str, int], now_ms: int) -> int:
    return len(ids) - sum(1 for _ in _ids_over(ids, now_ms))
