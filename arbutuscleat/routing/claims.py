"""Claims: the exclusive right to run a non-idempotent request.

A claim is committed to the replicated log under the caller's idempotency key before
the first byte of the request is sent, so that the request runs at most once, whichever
entry instance a resend arrives at.  A claim is finished once the complete answer has
been read, and released if nothing was sent.
"""

import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.core import Outcome, Refusal, RefusalReason, key_time_ms
from arbutuscleat.membership import ControlClient, ControlErrorKind
from arbutuscleat.state import ClaimState
from arbutuscleat.wire.gen.ttypes import BeginClaim, ClaimRecord, Command, EndClaim

from .request import Request


@dataclass(frozen=True)
class Claim:
    """A claim that this process owns.

    Parameters
    ----------
    key : str
        The claim key, see `claim_key`.
    claim_id : str
        Unique id of the attempt that made the claim.
    """

    key: str
    claim_id: str


@dataclass(frozen=True)
class ClaimDenied:
    """The error of an attempt to claim a key.

    Parameters
    ----------
    refusal : Refusal
        The refusal that the caller receives.
    answer_owner : str
        Node id of the entry instance that may have cached the answer of an earlier
        run; empty if there is none.
    """

    refusal: Refusal
    answer_owner: str = ""


class ClaimRegistry(ABC):
    """Makes and closes claims.  Timeouts are in seconds."""

    @abstractmethod
    def begin(
        self, req: Request, claim_id: str, timeout: float
    ) -> Result[Claim, ClaimDenied]:
        """Claim the key of `req`."""

    @abstractmethod
    def is_free(self, req: Request, timeout: float) -> bool:
        """Return whether the key of `req` is known to be unclaimed at this moment."""

    @abstractmethod
    def finish(self, claim: Claim, timeout: float) -> None:
        """Record that the request of a claim has finished."""

    @abstractmethod
    def release(self, claim: Claim, timeout: float) -> bool:
        """Release a claim; return whether the release is known to have taken effect."""


class LogClaimRegistry(ClaimRegistry):
    """Makes and closes claims in the replicated log.

    Parameters
    ----------
    control : ControlClient
        Proposes commands to the control instances.
    owner, incarnation : str
        Node id and incarnation of this process.
    """

    def __init__(self, control: ControlClient, owner: str, incarnation: str):
        self._control = control
        self._owner = owner
        self._incarnation = incarnation

    def begin(
        self, req: Request, claim_id: str, timeout: float
    ) -> Result[Claim, ClaimDenied]:
        """Claim the key of `req`."""
        key = claim_key(req)
        digest = content_digest(req)
        command = Command(
            begin_claim=BeginClaim(
                key=key,
                digest=digest,
                owner=self._owner,
                owner_incarnation=self._incarnation,
                claim_id=claim_id,
                key_time_ms=key_time_ms(req.key),
            )
        )
        result = self._control.propose(command, timeout)
        if isinstance(result, Failure):
            return Failure(ClaimDenied(_unconfirmed(result.failure().kind)))
        existing = result.unwrap().claim
        if existing.claim_id == claim_id and existing.state == ClaimState.RUNNING.value:
            return Success(Claim(key, claim_id))
        return Failure(_denied(existing, digest))

    def is_free(self, req: Request, timeout: float) -> bool:
        """Return whether the key of `req` is known to be unclaimed at this moment."""
        result = self._control.lookup(claim_key(req), timeout)
        return isinstance(result, Success) and result.unwrap().claim is None

    def finish(self, claim: Claim, timeout: float) -> None:
        """Record that the request of a claim has finished.

        The result of the proposal is ignored: if it is lost, the claim stays open and
        the request still cannot run again.
        """
        self._control.propose(_end_command(claim, released=False), timeout)

    def release(self, claim: Claim, timeout: float) -> bool:
        """Release a claim; return whether the release is committed."""
        result = self._control.propose(_end_command(claim, released=True), timeout)
        return isinstance(result, Success)


def claim_key(req: Request) -> str:
    """Return the key under which a request is claimed."""
    return f"{req.service}/{req.key}"


def content_digest(req: Request) -> str:
    """Return a digest of the method, path and body of a request.

    Each part is preceded by its length, so that different parts cannot produce the
    same input of the digest.
    """
    digest = hashlib.sha256()
    for part in (req.method.encode(), req.path.encode(), req.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _end_command(claim: Claim, released: bool) -> Command:
    return Command(
        end_claim=EndClaim(key=claim.key, claim_id=claim.claim_id, released=released)
    )


def _unconfirmed(kind: ControlErrorKind) -> Refusal:
    """Return the refusal for a claim that control has not confirmed.

    Nothing was sent in this attempt, but an earlier attempt with the same key may have
    run, so the outcome is unknown.
    """
    detail = "no control instance can be reached, so the key could not be claimed"
    if kind is ControlErrorKind.UNKNOWN:
        detail = "control did not confirm whether the key is claimed"
    return Refusal(RefusalReason.NO_QUORUM, Outcome.UNKNOWN, detail, retry_after=1.0)


def _denied(existing: ClaimRecord, digest: str) -> ClaimDenied:
    """Return why a key cannot be claimed, from the record that control returned."""
    if existing.state == ClaimState.NO_ROOM.value:
        detail = "the claim table is full; UUIDv7 keys expire and so need less room"
        refusal = Refusal(RefusalReason.NO_QUORUM, Outcome.NOT_RUN, detail, 60.0)
        return ClaimDenied(refusal)
    if existing.state == ClaimState.TOO_OLD.value:
        detail = "the key is too old: the claim of an earlier run may have expired"
        return ClaimDenied(Refusal(RefusalReason.KEY_TOO_OLD, Outcome.UNKNOWN, detail))
    if existing.digest != digest:
        detail = (
            "this key was already used with other content; this content did not run"
        )
        return ClaimDenied(Refusal(RefusalReason.KEY_REUSED, Outcome.NOT_RUN, detail))
    if existing.state == ClaimState.FINISHED.value:
        detail = "this request has already run; its answer is no longer available"
        refusal = Refusal(RefusalReason.KEY_FINISHED, Outcome.RAN, detail)
        return ClaimDenied(refusal, answer_owner=existing.owner)
    detail = f"an earlier attempt through {existing.owner} is not recorded as finished"
    refusal = Refusal(RefusalReason.KEY_IN_PROGRESS, Outcome.UNKNOWN, detail)
    # The owner may have cached the answer before the log records the end.
    return ClaimDenied(refusal, answer_owner=existing.owner)
