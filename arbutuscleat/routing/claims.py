"""Claims: the right to run a non-idempotent request, asked of the log."""

import hashlib
from abc import ABC, abstractmethod
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from arbutuscleat.core import Outcome, Refusal, RefusalReason
from arbutuscleat.membership import ControlClient, ControlErrorKind
from arbutuscleat.state import ClaimState
from arbutuscleat.wire.gen.ttypes import BeginClaim, ClaimRecord, Command, EndClaim

from .request import Request


@dataclass(frozen=True)
class Claim:
    """A claim that this process owns."""

    key: str
    claim_id: str


class ClaimRegistry(ABC):
    """Where claims are made."""

    @abstractmethod
    def begin(
        self, req: Request, claim_id: str, timeout: float
    ) -> Result[Claim, Refusal]:
        """Claim the key of `req`."""

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
    ) -> Result[Claim, Refusal]:
        """Claim the key of `req`, under an issued key when it has none."""
        key = f"{req.service}/{req.key or claim_id}"
        digest = content_digest(req)
        command = Command(
            begin_claim=BeginClaim(
                key=key,
                digest=digest,
                owner=self._owner,
                owner_incarnation=self._incarnation,
                claim_id=claim_id,
            )
        )
        result = self._control.propose(command, timeout)
        if isinstance(result, Failure):
            return Failure(_no_quorum(req, result.failure().kind))
        held = result.unwrap().claim
        if held.claim_id == claim_id and held.state == ClaimState.RUNNING.value:
            return Success(Claim(key, claim_id))
        return Failure(_already_held(held, digest))

    def finish(self, claim: Claim, timeout: float) -> None:
        """Say that the request has ended; losing this word does no harm."""
        self._control.propose(_end(claim, released=False), timeout)

    def release(self, claim: Claim, timeout: float) -> bool:
        """Give the key back; return whether the log has taken note."""
        result = self._control.propose(_end(claim, released=True), timeout)
        return isinstance(result, Success)


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


def _no_quorum(req: Request, kind: ControlErrorKind) -> Refusal:
    """Nothing of this attempt has left; an earlier one under the key may have run."""
    outcome = Outcome.UNKNOWN if req.key else Outcome.NOT_RUN
    detail = "control cannot be reached, so the request could not be claimed"
    return Refusal(RefusalReason.NO_QUORUM, outcome, detail, retry_after=1.0)


def _already_held(held: ClaimRecord, digest: str) -> Refusal:
    if held.state == ClaimState.NO_ROOM.value:
        detail = "the claim table is full"
        return Refusal(RefusalReason.NO_QUORUM, Outcome.NOT_RUN, detail, 60.0)
    if held.digest != digest:
        detail = "this key was used before for other content; this content was not run"
        return Refusal(RefusalReason.KEY_REUSED, Outcome.NOT_RUN, detail)
    if held.state == ClaimState.FINISHED.value:
        detail = "this request has run; its answer is no longer held"
        return Refusal(RefusalReason.KEY_FINISHED, Outcome.RAN, detail)
    detail = f"an earlier attempt through {held.owner} is not known to have ended"
    return Refusal(RefusalReason.KEY_IN_PROGRESS, Outcome.UNKNOWN, detail)
