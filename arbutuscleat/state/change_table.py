"""The change table: the first verdict on every change id, given again on resend."""

from collections import OrderedDict
from enum import Enum

from arbutuscleat.wire.gen.ttypes import Change, ChangeResult

from .fleet_configuration import FleetConfiguration

MAX_RESULTS = 20_000


class ChangeRefusal(str, Enum):
    """Why a change was not accepted."""

    ID_REUSED = "id-reused"
    """The change id was used before with other content."""

    VERSION_CONFLICT = "version-conflict"
    """The object has another version than the change expects."""

    INVALID = "invalid"
    """The content is not acceptable."""


class ChangeTable:
    """Verdicts by change id, the oldest dropped first.

    A change whose verdict was dropped cannot be accepted a second time by
    mistake: its expected version has passed.
    """

    def __init__(self) -> None:
        self._results: OrderedDict[str, ChangeResult] = OrderedDict()

    def get(self, change_id: str) -> ChangeResult | None:
        """Return the verdict on a change, or None when it is not known."""
        return self._results.get(change_id)

    def decide(self, change: Change, configuration: FleetConfiguration) -> ChangeResult:
        """Accept or refuse a change, and change the configuration accordingly."""
        known = self._results.get(change.change_id)
        if known is not None:
            return (
                known
                if known.digest == change.digest
                else _refuse_reused_id(change, known)
            )
        result = _evaluate(change, configuration)
        if result.accepted:
            configuration.accept(change.content)
            result.version = configuration.version
        self._results[change.change_id] = result
        if len(self._results) > MAX_RESULTS:
            self._results.popitem(last=False)
        return result

    def to_records(self) -> list[ChangeResult]:
        """Return all verdicts, oldest first."""
        return list(self._results.values())

    def restore(self, records: list[ChangeResult]) -> None:
        """Replace all verdicts."""
        self._results = OrderedDict((item.change_id, item) for item in records)


def _evaluate(change: Change, configuration: FleetConfiguration) -> ChangeResult:
    current = configuration.object_version(change.content)
    if change.expected_version != current:
        detail = f"expected version {change.expected_version}, found {current}"
        return _refuse(change, ChangeRefusal.VERSION_CONFLICT, detail, current)
    errors = configuration.validate(change.content)
    if errors:
        detail = "; ".join(error.message for error in errors)
        result = _refuse(change, ChangeRefusal.INVALID, detail, current)
        result.source = errors[0].source
        return result
    return ChangeResult(
        change_id=change.change_id, digest=change.digest, accepted=True, version=0
    )


def _refuse(
    change: Change, reason: ChangeRefusal, detail: str, version: int
) -> ChangeResult:
    return ChangeResult(
        change_id=change.change_id,
        digest=change.digest,
        accepted=False,
        version=version,
        reason=reason.value,
        detail=detail,
        source=f"change {change.change_id}",
    )


def _refuse_reused_id(change: Change, known: ChangeResult) -> ChangeResult:
    detail = "this change id was used before with other content"
    return _refuse(change, ChangeRefusal.ID_REUSED, detail, known.version)
