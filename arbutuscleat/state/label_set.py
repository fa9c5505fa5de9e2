"""Label sets: labels that operators put on an instance or on a service's jobs."""

from dataclasses import dataclass
from enum import Enum

from arbutuscleat.core import Labels, ValidationError, is_name, validate_labels


class LabelKind(str, Enum):
    """What a label set is attached to."""

    INSTANCE = "instance"
    SERVICE = "service"
    """Every job of the service gets the labels."""


@dataclass(frozen=True)
class LabelSet:
    """Labels of one instance or of all jobs of one service."""

    kind: LabelKind
    name: str
    labels: Labels
    version: int


def validate_label_set(label_set: LabelSet) -> list[ValidationError]:
    """Return what is wrong with `label_set`, one error for each fault."""
    source = f"labels {label_set.kind.value}/{label_set.name}"
    errors = []
    if not is_name(label_set.name):
        errors.append(ValidationError(source, f"{label_set.name!r} is not a name"))
    errors.extend(validate_labels(label_set.labels, source))
    return errors
