"""Selector rules: named selectors that operators store in the configuration."""

from dataclasses import dataclass
from enum import Enum

from .errors import ValidationError
from .labels import is_name
from .selector import validate_selector


class SelectorPurpose(str, Enum):
    """What a selector rule is used for."""

    PLACEMENT = "placement"
    """Matching jobs may run on the matching instances of the pool."""

    MAINTENANCE = "maintenance"
    """Matching instances are maintained in a wave."""


@dataclass(frozen=True)
class SelectorRule:
    """A named selector with its purpose.

    Parameters
    ----------
    name : str
        Name of the rule.
    purpose : SelectorPurpose
        What the rule is used for.
    jobs, instances : str
        Selectors on job labels and on instance labels; an empty one matches all.
    pool : str
        The pool to which a placement rule admits jobs; empty for other purposes.
    version : int
        Configuration version of the last change to this rule.
    """

    name: str
    purpose: SelectorPurpose
    jobs: str
    instances: str
    pool: str
    version: int


def validate_selector_rule(rule: SelectorRule) -> list[ValidationError]:
    """Return all errors in the definition of `rule`."""
    source = f"selector {rule.name}"
    errors = []
    if not is_name(rule.name):
        errors.append(ValidationError(source, f"{rule.name!r} is not a name"))
    if rule.purpose is SelectorPurpose.PLACEMENT and not rule.pool:
        errors.append(ValidationError(source, "a placement selector needs a pool"))
    if rule.purpose is SelectorPurpose.MAINTENANCE and not rule.instances.strip():
        message = "a maintenance selector needs an instance selector"
        errors.append(ValidationError(source, message))
    errors.extend(validate_selector(rule.jobs, f"{source} jobs"))
    errors.extend(validate_selector(rule.instances, f"{source} instances"))
    return errors
