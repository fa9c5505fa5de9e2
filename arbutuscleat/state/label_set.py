"""Label sets: labels that operators assign to an instance or to a service's jobs."""

from dataclasses import dataclass
from enum import Enum

from arbutuscleat.core import Labels, ValidationError, is_name, validate_labels


class LabelKind(str, Enum):
    """The kind of object that a label set applies to."""

    INSTANCE = "instance"
    SERVICE = "service"
    """The labels apply to every job of the service."""


@dataclass(frozen=True)
class LabelSet:
    """Labels of one instance or of all jobs of one service.

    Parameters
    ----------
    kind : LabelKind
        Whether `name` is an instance or a service.
    name : str
        The instance id or the service name.
    labels : Labels
        The labels by name.
    version : int
        Configuration version of the last change.
    """

    kind: LabelKind
    name: str
    labels: Labels
    version: int


def validate_label_set(label_set: LabelSet) -> list[ValidationError]:
    """Return the validation errors of `label_set`; empty if it is valid."""
    source = f"labels {label_set.kind.value}/{label_set.name}"
    errors = []
    if not is_name(label_set.name):
        errors.append(ValidationError(source, f"{label_set.name!r} is not a name"))
    errors.extend(validate_labels(label_set.labels, source))
    return errors
