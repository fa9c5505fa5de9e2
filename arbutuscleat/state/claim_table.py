"""The claim table: which owner may send a non-idempotent request.

An entry instance claims the idempotency key of a request before it sends the
first byte.  A claim is never transferred to another owner.  Its owner releases it
only when it refuses the request before it has sent any byte; after that the key
can be claimed again.

Memory is bounded.  Claims of time-ordered keys are forgotten once the key is older
than a horizon that only moves forward; from then on such keys are refused.  Claims
of other keys never expire, and their number is limited.
"""

from enum import Enum

from arbutuscleat.core.idempotency_key import UNTIMED
from arbutuscleat.wire.gen.ttypes import BeginClaim, ClaimRecord, EndClaim

MAX_CLAIMS = 100_000
MAX_UNTIMED_CLAIMS = 20_000


class ClaimState(str, Enum):
    """State of a claim, or the reason why a key could not be claimed."""

    RUNNING = "running"
    """The owner may have sent the request; whether it ran is unknown here."""

    FINISHED = "finished"
    """The owner has read the complete response."""

    NO_ROOM = "no-room"
    """The key was not claimed: the table is full."""

    TOO_OLD = "too-old"
    """The key was not claimed: an earlier claim of it may have been forgotten."""


class ClaimTable:
    """Claims by idempotency key.

    Attributes
    ----------
    horizon_ms : int
        Unix time in milliseconds; claims whose key time is earlier are forgotten.
    """

    def __init__(self) -> None:
        self.horizon_ms = 0
        self._claims: dict[str, ClaimRecord] = {}
        self._untimed_count = 0

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def get(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, or None if the key is not claimed."""
        return self._claims.get(key)

    def begin(self, request: BeginClaim) -> ClaimRecord:
        """Claim a key.

        Parameters
        ----------
        request : BeginClaim
            The key, its owner and the id of the claim.

        Returns
        -------
        ClaimRecord
            The existing claim of the key if there is one, otherwise the new one.
            A record in state NO_ROOM or TOO_OLD is not stored.
        """
        held = self._claims.get(request.key)
        if held is not None:
            return held
        record = ClaimRecord(
            key=request.key,
            digest=request.digest,
            owner=request.owner,
            owner_incarnation=request.owner_incarnation,
            claim_id=request.claim_id,
            state=self._initial_state(request).value,
            key_time_ms=request.key_time_ms,
        )
        if record.state == ClaimState.RUNNING.value:
            self._insert(record)
        return record

    def end(self, request: EndClaim) -> ClaimRecord | None:
        """Finish or release a claim; return it, or None if it does not exist.

        A claim that is already finished cannot be released.
        """
        held = self._claims.get(request.key)
        if held is None or held.claim_id != request.claim_id:
            return None
        if request.released and held.state == ClaimState.RUNNING.value:
            self._remove(held)
        else:
            held.state = ClaimState.FINISHED.value
        return held

    def forget(self, before_ms: int) -> None:
        """Advance the horizon and forget the claims that are older than it.

        Parameters
        ----------
        before_ms : int
            New horizon, as Unix time in milliseconds; ignored if it is earlier
            than the current one.
        """
        self.horizon_ms = max(self.horizon_ms, before_ms)
        old = [
            record
            for record in self._claims.values()
            if _is_timed(record) and record.key_time_ms < self.horizon_ms
        ]
        for record in old:
            self._remove(record)

    def to_records(self) -> list[ClaimRecord]:
        """Return all claims."""
        return list(self._claims.values())

    def restore(self, records: list[ClaimRecord], horizon_ms: int) -> None:
        """Replace all claims and the horizon."""
        self.horizon_ms = horizon_ms
        self._claims = {}
        self._untimed_count = 0
        for record in records:
            self._insert(record)

    def _initial_state(self, request: BeginClaim) -> ClaimState:
        if _is_timed(request) and request.key_time_ms < self.horizon_ms:
            return ClaimState.TOO_OLD
        if not _is_timed(request) and self._untimed_count >= MAX_UNTIMED_CLAIMS:
            return ClaimState.NO_ROOM
        if len(self._claims) >= MAX_CLAIMS:
            return ClaimState.NO_ROOM
        return ClaimState.RUNNING

    def _insert(self, record: ClaimRecord) -> None:
        self._claims[record.key] = record
        self._untimed_count += not _is_timed(record)

    def _remove(self, record: ClaimRecord) -> None:
        del self._claims[record.key]
        self._untimed_count -= not _is_timed(record)


def _is_timed(item: BeginClaim | ClaimRecord) -> bool:
    return (item.key_time_ms or UNTIMED) != UNTIMED
