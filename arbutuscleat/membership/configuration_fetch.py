"""Answers to fetches, the same at control and at peers."""

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.state import ConfigurationSource
from arbutuscleat.wire.gen.ttypes import FetchAnswer, FetchRequest, Status

MAX_WAIT_SECONDS = 5.0


def answer_fetch(
    source: ConfigurationSource, request: FetchRequest, clock: Clock
) -> FetchAnswer:
    """Return what is newer than the version known, waiting for it if need be."""
    wait = min(request.wait_ms / 1000.0, MAX_WAIT_SECONDS)
    deadline = Deadline.after(clock, wait)
    with source.changed:
        while source.version <= request.known_version and not deadline.expired():
            clock.wait(source.changed, deadline.remaining())
        answer = FetchAnswer(
            request_id=request.request_id,
            status=Status.OK,
            version=source.version,
            lease_ms=0,
        )
        if source.version > request.known_version:
            _add_content(source, request.known_version, answer)
        return answer


def _add_content(source: ConfigurationSource, known: int, answer: FetchAnswer) -> None:
    deltas = source.deltas_since(known) if known >= 0 else None
    if deltas is None:
        answer.full = source.full()
    else:
        answer.deltas = deltas
