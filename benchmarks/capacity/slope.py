"""Linear models of a cost: a fixed part and a part for each unit of size."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Slope:
    """A linear model of a cost.

    Parameters
    ----------
    base : float
        Cost at size zero.
    per_unit : float
        Additional cost of each unit of size.
    """

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the estimated cost at a size."""
        return self.base + self.per_unit * size


def fit(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through (size, cost) points."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    size_deviation = sum((size - mean_size) ** 2 for size, _ in points)
    covariation = sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
    per_unit = covariation / size_deviation
    return Slope(mean_cost - per_unit * mean_size, per_unit)


def print_slope(
    what: str, unit: str, points: Sequence[tuple[float, float]], target: float
):
    """Print and return the linear model, with its estimate for the target size."""
    slope = fit(points)
    measured = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in points)
    print(
        f"{what} [{unit}]: {measured} -> {slope.base:.4g} + {slope.per_unit:.4g} "
        f"each; at {target:g}: {slope.at(target):.4g}"
    )
    return slope
