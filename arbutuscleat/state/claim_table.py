"""The claim table: which non-idempotent request may be run, and by whom.

A claim is made before the first byte of a request leaves.  It is never handed
to another owner.  Only an owner that refuses before any byte has left releases
it; after that the key can be claimed again.
"""

from enum import Enum

from arbutuscleat.wire.gen.ttypes import BeginClaim, ClaimRecord, EndClaim

MAX_CLAIMS = 100_000


class ClaimState(str, Enum):
    """What a claim says about its request."""

    RUNNING = "running"
    """The owner may have sent it; whether it ran is not known here."""

    FINISHED = "finished"
    """The owner has read its whole answer."""

    NO_ROOM = "no-room"
    """Nothing was claimed: the table is full."""


class ClaimTable:
    """Claims by key."""

    def __init__(self) -> None:
        self._claims: dict[str, ClaimRecord] = {}

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def get(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, or None."""
        return self._claims.get(key)

    def begin(self, request: BeginClaim) -> ClaimRecord:
        """Claim a key; return the claim that holds it, old or new."""
        held = self._claims.get(request.key)
        if held is not None:
            return held
        record = ClaimRecord(
            key=request.key,
            digest=request.digest,
            owner=request.owner,
            owner_incarnation=request.owner_incarnation,
            claim_id=request.claim_id,
            state=ClaimState.RUNNING.value,
        )
        if len(self._claims) >= MAX_CLAIMS:
            record.state = ClaimState.NO_ROOM.value
            return record
        self._claims[request.key] = record
        return record

    def end(self, request: EndClaim) -> ClaimRecord | None:
        """Finish or release a claim; return it, or None when it is not held."""
        held = self._claims.get(request.key)
        if held is None or held.claim_id != request.claim_id:
            return None
        if request.released and held.state == ClaimState.RUNNING.value:
            del self._claims[request.key]
        else:
            held.state = ClaimState.FINISHED.value
        return held

    def to_records(self) -> list[ClaimRecord]:
        """Return all claims."""
        return list(self._claims.values())

    def restore(self, records: list[ClaimRecord]) -> None:
        """Replace all claims."""
        self._claims = {record.key: record for record in records}
