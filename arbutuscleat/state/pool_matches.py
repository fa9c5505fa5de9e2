"""An incremental index of the pools that each instance matches.

A change of one pool evaluates one selector for every instance; a change of one
instance evaluates every selector for that instance.  No change evaluates every
selector for every instance.
"""

from collections.abc import Mapping

from arbutuscleat.core import Labels, Selector, parse_selector


class PoolMatches:
    """Matches between instance labels and the membership selectors of pools."""

    def __init__(self) -> None:
        self._selectors: dict[str, Selector] = {}
        self._labels: dict[str, Labels] = {}
        self._matches: dict[str, frozenset[str]] = {}

    def pools_of(self, instance_id: str) -> frozenset[str]:
        """Return the names of the pools whose selector matches an instance."""
        return self._matches.get(instance_id, frozenset())

    def set_pool(self, name: str, membership: str) -> None:
        """Replace the membership selector of a pool."""
        self._selectors[name] = parse_selector(membership)
        for instance_id, found in self.matches_with_pool(name, membership).items():
            self._matches[instance_id] = found

    def set_instance(self, instance_id: str, labels: Labels) -> None:
        """Replace the labels of an instance."""
        self._labels[instance_id] = labels
        self._matches[instance_id] = self.matches_with_labels(labels)

    def matches_with_pool(
        self, name: str, membership: str
    ) -> Mapping[str, frozenset[str]]:
        """Return the matches of every instance if a pool had another selector.

        Parameters
        ----------
        name : str
            Name of the pool, which may be new.
        membership : str
            The membership selector to evaluate.

        Returns
        -------
        mapping of str to frozenset of str
            Names of the matching pools by instance id.
        """
        selector = parse_selector(membership)
        return {
            instance_id: (
                self._matches[instance_id] | {name}
                if selector.matches(labels)
                else self._matches[instance_id] - {name}
            )
            for instance_id, labels in self._labels.items()
        }

    def matches_with_labels(self, labels: Labels) -> frozenset[str]:
        """Return the names of the pools that match an instance with these labels."""
        return frozenset(
            name
            for name, selector in self._selectors.items()
            if selector.matches(labels)
        )
