"""An incremental index of the instances that are assigned to each pool."""

from collections.abc import Iterable

from arbutuscleat.core import Instance


class PoolInstances:
    """Instances by pool, so that decisions about one pool need not scan the fleet."""

    def __init__(self) -> None:
        self._pools: dict[str, dict[str, Instance]] = {}
        self._pool_of: dict[str, str] = {}

    def update(self, instance: Instance) -> None:
        """Add an instance, or replace it and move it to its current pool."""
        pool = instance.assignment.pool
        before = self._pool_of.get(instance.instance_id, pool)
        if before != pool:
            del self._pools[before][instance.instance_id]
        self._pool_of[instance.instance_id] = pool
        self._pools.setdefault(pool, {})[instance.instance_id] = instance

    def of(self, pool: str) -> Iterable[Instance]:
        """Return the instances that are assigned to a pool."""
        return self._pools.get(pool, {}).values()
