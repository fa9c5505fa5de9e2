"""Claims: the right to run a non-idempotent request, asked of the log."""

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
    """A claim that this process owns."""

    key: str
    claim_id: str


@dataclass(frozen=True)
class ClaimDenied:
    """No claim, and why.

    Parameters
    ----------
    refusal : Refusal
        What the caller may conclude.
    answer_owner : str
        The entry instance that may still hold the answer of the finished run;
        empty otherwise.
    """

    refusal: Refusal
    answer_owner: str = ""


class ClaimRegistry(ABC):
    """Where claims are made."""

    @abstractmethod
    def begin(
        self, req: Request, claim_id: str, timeout: float
    ) -> Result[Claim, ClaimDenied]:
        """Claim the key of `req`."""

    @abstractmethod
    def is_free(self, req: Request, timeout: float) -> bool:
        """Return whether it is certain that nobody holds the key of `req` now."""

    @abstractmethod
    def finish(self, claim: Claim, timeout: float) -> None:
        """Say that the request has ended."""

    @abstractmethod
    def release(self, claim: Claim, timeout: float) -> bool:
        """Give the key back; return whether that is certain."""


class LogClaimRegistry(ClaimRegistry):
    """Claims in the replicated log.

    Parameters
    ----------
    control : ControlClient
        The way to the log.
    owner, incarnation : str
        Identity of this process.
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
            return Failure(ClaimDenied(_no_quorum(result.failure().kind)))
        held = result.unwrap().claim
        if held.claim_id == claim_id and held.state == ClaimState.RUNNING.value:
            return Success(Claim(key, claim_id))
        return Failure(_denied(held, digest))

    def is_free(self, req: Request, timeout: float) -> bool:
        """Return whether it is certain that nobody holds the key of `req` now."""
        result = self._control.lookup(claim_key(req), timeout)
        return isinstance(result, Success) and result.unwrap().claim is None

    def finish(self, claim: Claim, timeout: float) -> None:
        """Say that the request has ended; losing this word does no harm."""
        self._control.propose(_end(claim, released=False), timeout)

    def release(self, claim: Claim, timeout: float) -> bool:
        """Give the key back; return whether the log has taken note."""
        result = self._control.propose(_end(claim, released=True), timeout)
        return isinstance(result, Success)


def claim_key(req: Request) -> str:
    """Return the key under which a request is claimed."""
    return f"{req.service}/{req.key}"


def content_digest(req: Request) -> str:
    """Return a digest of what a request asks for."""
    digest = hashlib.sha256()
    for part in (req.method.encode(), req.path.encode(), req.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _end(claim: Claim, released: bool) -> Command:
    return Command(
        end_claim=EndClaim(key=claim.key, claim_id=claim.claim_id, released=released)
    )


def _no_quorum(kind: ControlErrorKind) -> Refusal:
    """Nothing of this attempt has left; an earlier one under the key may have run."""
    detail = "control cannot be reached, so the request could not be claimed"
    if kind is ControlErrorKind.UNKNOWN:
        detail = "control did not answer whether the request is claimed"
    return Refusal(RefusalReason.NO_QUORUM, Outcome.UNKNOWN, detail, retry_after=1.0)


def _denied(held: ClaimRecord, digest: str) -> ClaimDenied:
    if held.state == ClaimState.NO_ROOM.value:
        detail = "the claim table is full; keys in the form of a UUIDv7 need less room"
        refusal = Refusal(RefusalReason.NO_QUORUM, Outcome.NOT_RUN, detail, 60.0)
        return ClaimDenied(refusal)
    if held.state == ClaimState.TOO_OLD.value:
        detail = "the key is so old that an earlier run may have been forgotten"
        return ClaimDenied(Refusal(RefusalReason.KEY_TOO_OLD, Outcome.UNKNOWN, detail))
    if held.digest != digest:
        detail = "this key was used before for other content; this content was not run"
        return ClaimDenied(Refusal(RefusalReason.KEY_REUSED, Outcome.NOT_RUN, detail))
    if held.state == ClaimState.FINISHED.value:
        detail = "this request has run; its answer is no longer held"
        refusal = Refusal(RefusalReason.KEY_FINISHED, Outcome.RAN, detail)
        return ClaimDenied(refusal, answer_owner=held.owner)
    detail = f"an earlier attempt through {held.owner} is not known to have ended"
    refusal = Refusal(RefusalReason.KEY_IN_PROGRESS, Outcome.UNKNOWN, detail)
    # Its end may be known there and not yet to the log.
    return ClaimDenied(refusal, answer_owner=held.owner)
