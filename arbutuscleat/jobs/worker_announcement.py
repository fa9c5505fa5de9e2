"""The order of a worker's announcements.

Announcements can arrive late and in any order. Those of a later incarnation replace
those of an earlier one; within an incarnation their sequence numbers tell them apart.
"""

from arbutuscleat.wire.gen_jobs.ttypes import WorkerRecord

MAX_SEQUENCE_LAG = 10_000
"""Announcements by which a delayed one can be behind the latest: some three hours at
one a second. If one is further behind, the stored number is not the worker's own."""


def is_outdated(record: WorkerRecord, stored: WorkerRecord) -> bool:
    """Return whether an announcement is older than the one stored for its worker.

    Sequence numbers are compared as serial numbers (RFC 1982): a number that is far too
    large would otherwise hide all later announcements of the incarnation.
    """
    if record.born_ms != stored.born_ms:
        return record.born_ms < stored.born_ms
    return 0 < stored.sequence - record.sequence <= MAX_SEQUENCE_LAG
