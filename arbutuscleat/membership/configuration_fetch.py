"""Long polling for a newer configuration, answered by control and by peers alike."""

from arbutuscleat.core import Clock, Deadline
from arbutuscleat.state import ConfigurationSource
from arbutuscleat.wire.gen.ttypes import FetchAnswer, FetchRequest, Status

MAX_WAIT_SECONDS = 5.0


def answer_fetch(
    source: ConfigurationSource, request: FetchRequest, clock: Clock
) -> FetchAnswer:
    """Wait until the source has a newer version than the caller, and return it.

    Parameters
    ----------
    source : ConfigurationSource
        The configuration to read.
    request : FetchRequest
        The version that the caller has, and how long to wait for a newer one; the
        wait is limited to `MAX_WAIT_SECONDS`.
    clock : Clock
        Source of time.

    Returns
    -------
    FetchAnswer
        The missing deltas, or the complete configuration if some deltas were
        discarded; neither if there is no newer version.  It grants no lease.
    """
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
