"""The change table: deduplicates configuration changes by their change id.

The first result of a change id is stored, and a resend of the change returns it.
"""

from collections import OrderedDict
from enum import Enum

from arbutuscleat.wire.gen.ttypes import Change, ChangeResult

from .fleet_configuration import FleetConfiguration

MAX_RESULTS = 20_000


class ChangeRefusal(str, Enum):
    """Reasons for refusing a change."""

    ID_REUSED = "id-reused"
    """The change id was already used with different content."""

    VERSION_CONFLICT = "version-conflict"
    """The version of the object differs from the one that the change expects."""

    INVALID = "invalid"
    """The content failed validation."""


class ChangeTable:
    """Results by change id; the oldest are evicted first.

    A change whose result was evicted cannot be accepted a second time: its
    expected version is out of date by then.
    """

    def __init__(self) -> None:
        self._results: OrderedDict[str, ChangeResult] = OrderedDict()

    def get(self, change_id: str) -> ChangeResult | None:
        """Return the result of a change, or None if it is unknown or evicted."""
        return self._results.get(change_id)

    def decide(self, change: Change, configuration: FleetConfiguration) -> ChangeResult:
        """Accept or refuse a change, and apply it to the configuration if accepted.

        Parameters
        ----------
        change : Change
            The requested change.
        configuration : FleetConfiguration
            The configuration to validate against and to update.

        Returns
        -------
        ChangeResult
            The stored result if the change id is known, a new result otherwise.
        """
        known = self._results.get(change.change_id)
        if known is not None:
            return (
                known if known.digest == change.digest else _refuse_reuse(change, known)
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
        """Return all results, oldest first."""
        return list(self._results.values())

    def restore(self, records: list[ChangeResult]) -> None:
        """Replace all results."""
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


def _refuse_reuse(change: Change, known: ChangeResult) -> ChangeResult:
    detail = "this change id was already used with different content"
    return _refuse(change, ChangeRefusal.ID_REUSED, detail, known.version)
