"""Labels: key-value pairs attached to instances, services and jobs.

Keys and values follow the syntax of Kubernetes labels, which operators know.
"""

import re
from collections.abc import Mapping

from .errors import ValidationError

MAX_LABELS = 32
MAX_NAME_LENGTH = 63

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?\Z")

Labels = Mapping[str, str]


def is_name(text: str) -> bool:
    """Return whether `text` is valid as an object name, label key or label value."""
    return len(text) <= MAX_NAME_LENGTH and _NAME.match(text) is not None


def validate_labels(labels: Labels, source: str) -> list[ValidationError]:
    """Return all errors in `labels`, each with `source` as its source."""
    errors = []
    if len(labels) > MAX_LABELS:
        message = f"{len(labels)} labels; at most {MAX_LABELS} are allowed"
        errors.append(ValidationError(source, message))
    for key, value in labels.items():
        if not is_name(key):
            errors.append(ValidationError(source, f"label key {key!r} is not a name"))
        if value and not is_name(value):
            message = f"value {value!r} of label {key!r} is not a name"
            errors.append(ValidationError(source, message))
    return errors


def parse_labels(text: str) -> dict[str, str]:
    """Parse the labels in a header value such as ``kind=billing-run,urgent=true``.

    Raises
    ------
    ValueError
        If an item is not of the form ``key=value`` or a key occurs twice.
    """
    labels: dict[str, str] = {}
    for item in filter(None, (piece.strip() for piece in text.split(","))):
        key, separator, value = item.partition("=")
        if not separator:
            raise ValueError(f"label {item!r} is not of the form key=value")
        if key in labels:
            raise ValueError(f"label {key!r} is given twice")
        labels[key] = value
    return labels
