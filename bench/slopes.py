"""Fit a straight line to measured points and compute their scatter around it."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """Hold the value measured at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold the straight line fitted to measured points."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]
    per_unit: float
    """Growth of the value per unit of size."""
    at_zero: float
    scatter: float
    """Largest deviation of a point from the line, as a share of the largest value."""


def fit_slope(
    name: str, points: list[Point], *, size_unit: str, value_unit: str
) -> Slope:
    """Fit a straight line to the points by least squares."""
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
    """Format a slope as two lines, the second one with its points."""
    points = " ".join(f"{point.size:g}:{point.value:.4g}" for point in slope.points)
    return (
        f"{slope.name}: {slope.per_unit:.4g} {slope.value_unit} per {slope.size_unit}, "
        f"{slope.at_zero:.4g} at zero, scatter {slope.scatter:.0%}\n    {points}"
    )
