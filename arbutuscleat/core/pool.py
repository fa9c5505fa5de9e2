"""Pools: named groups of instances that serve one service within a budget."""

from dataclasses import dataclass

from .errors import ValidationError
from .labels import is_name
from .selector import validate_selector


@dataclass(frozen=True)
class Pool:
    """A pool and its availability budget.

    Parameters
    ----------
    name, service : str
        Name of the pool and of the service that its instances serve.
    min_available : int
        The budget: instances that must stay available at any moment.
    spare : bool
        Whether other services may spill into this pool by selector.
    membership : str
        Selector over instance labels; its matches are members.
    version : int
        Configuration version of the last change to this pool.
    """

    name: str
    service: str
    min_available: int
    spare: bool
    membership: str
    version: int


def validate_pool(pool: Pool) -> list[ValidationError]:
    """Return what is wrong with `pool`, one error for each fault."""
    source = f"pool {pool.name}"
    errors = []
    if not is_name(pool.name):
        errors.append(ValidationError(source, f"{pool.name!r} is not a name"))
    if not is_name(pool.service):
        errors.append(
            ValidationError(source, f"service {pool.service!r} is not a name")
        )
    if pool.min_available < 0:
        errors.append(ValidationError(source, "min_available is below 0"))
    if not pool.membership.strip():
        errors.append(ValidationError(source, "the membership selector is empty"))
    errors.extend(validate_selector(pool.membership, f"{source} membership"))
    return errors
