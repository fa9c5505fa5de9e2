"""Slopes: a cost at two or more sizes, as a base and a cost for each unit."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Slope:
    """A straight line through measured points.

    Parameters
    ----------
    base : float
        Cost at size zero.
    per_unit : float
        Cost of each unit of size.
    """

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.per_unit * size


def fit(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through (size, cost) points."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    joint = sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
    per_unit = joint / spread
    return Slope(mean_cost - per_unit * mean_size, per_unit)


def show(what: str, unit: str, points: Sequence[tuple[float, float]], target: float):
    """Print the points, the line and its value at the target size."""
    slope = fit(points)
    measured = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in points)
    print(
        f"{what} [{unit}]: {measured} -> {slope.base:.4g} + {slope.per_unit:.4g} "
        f"each; at {target:g}: {slope.at(target):.4g}"
    )
    return slope
