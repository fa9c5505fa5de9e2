"""Which pools each instance matches, kept up to date change by change.

A change of one pool evaluates one selector for every instance; a change of one
instance evaluates every selector for that instance.  Nothing evaluates both.
"""

from collections.abc import Mapping

from arbutuscleat.core import Labels, Selector, parse_selector


class PoolMatches:
    """Instances against membership selectors."""

    def __init__(self) -> None:
        self._selectors: dict[str, Selector] = {}
        self._labels: dict[str, Labels] = {}
        self._matches: dict[str, frozenset[str]] = {}

    def pools_of(self, instance_id: str) -> frozenset[str]:
        """Return the names of the pools that an instance matches."""
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
        """Return what every instance would match under another selector."""
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
        """Return the pools that an instance with these labels would match."""
        return frozenset(
            name
            for name, selector in self._selectors.items()
            if selector.matches(labels)
        )
