"""Fit a straight line to measured points and tell how far they scatter from it."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """Hold one measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold a line through measured points."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]
    per_unit: float
    """Growth of the value for each unit of size."""
    at_zero: float
    scatter: float
    """Largest distance of a point from the line, as a share of the largest value."""


def fit_slope(
    name: str, points: list[Point], *, size_unit: str, value_unit: str
) -> Slope:
    """Fit a line by least squares."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    per_unit, at_zero = statistics.linear_regression(sizes, values)
    max_residual = max(
        abs(point.value - at_zero - per_unit * point.size) for point in points
    )
    return Slope(
        name=name,
        size_unit=size_unit,
        value_unit=value_unit,
        points=tuple(points),
        per_unit=per_unit,
        at_zero=at_zero,
        scatter=max_residual / max(max(map(abs, values)), 1e-12),
    )


def format_slope(slope: Slope) -> str:
    """Return one line for a slope and one for its points."""
    points = " ".join(f"{point.size:g}:{point.value:.4g}" for point in slope.points)
    return (
        f"{slope.name}: {slope.per_unit:.4g} {slope.value_unit} a {slope.size_unit}, "
        f"{slope.at_zero:.4g} at none, scatter {slope.scatter:.0%}\n    {points}"
    )
