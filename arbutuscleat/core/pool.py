"""Pools: named groups of instances that serve one service, with a budget."""

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
        The budget: minimum number of instances that must be available at any time.
    spare : bool
        Whether work of other services may overflow into this pool by a selector.
    membership : str
        Selector on instance labels; the matching instances belong to the pool.
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
    """Return all errors in the definition of `pool`."""
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
