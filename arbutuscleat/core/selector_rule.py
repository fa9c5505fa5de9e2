"""Selector rules: the selectors that operators store under a name."""

from dataclasses import dataclass
from enum import Enum

from .errors import ValidationError
from .labels import is_name
from .selector import validate_selector


class SelectorPurpose(str, Enum):
    """What a stored selector decides."""

    PLACEMENT = "placement"
    """Jobs that match may run on the pool's instances that match."""

    MAINTENANCE = "maintenance"
    """Instances that match are taken by a maintenance wave."""


@dataclass(frozen=True)
class SelectorRule:
    """A stored selector.

    Parameters
    ----------
    name : str
        Name of the rule.
    purpose : SelectorPurpose
        What the rule decides.
    jobs, instances : str
        Selectors over job labels and instance labels; empty matches all.
    pool : str
        The pool that a placement rule opens; empty for other purposes.
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
    """Return what is wrong with `rule`, one error for each fault."""
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
