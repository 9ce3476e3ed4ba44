"""Slopes and exponents of measured points, with their range over runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import exp, log

import msgspec

RUNS = 3


class Point(msgspec.Struct):
    """The values measured at one size, one for each run."""

    size: float
    values: list[float]


class Measurement(msgspec.Struct):
    """How one value grows with one count.

    The slope is that of a line through the points by least squares; `slope_low` and `slope_high` are the
    minimum and the maximum of the runs' own slopes. `exponent`: of a power law through the same points; 1 is
    proportional growth.
    """

    name: str
    role: str
    unit: str
    count: str
    points: list[Point]
    slope: float
    slope_low: float
    slope_high: float
    intercept: float
    exponent: float
    fixed: str = ""  # what stayed the same while the count grew


@dataclass(frozen=True)
class Line:
    """A straight line."""

    slope: float
    intercept: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the line through the points by least squares."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
        / spread
    )
    return Line(slope, mean_value - slope * mean_size)


def fit_exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the exponent of a power law through the points; sizes and values are positive."""
    tiny = 1e-12
    return fit_line([log(size) for size in sizes], [log(max(value, tiny)) for value in values]).slope


def power_law(sizes: Sequence[float], values: Sequence[float], size: float) -> float:
    """Return the value of that power law at a size."""
    line = fit_line([log(one) for one in sizes], [log(max(value, 1e-12)) for value in values])
    return exp(line.intercept + line.slope * log(size))


def measure(
    name: str,
    role: str,
    unit: str,
    count: str,
    sizes: Sequence[int],
    run: Callable[[int], float],
    fixed: str = "",
    runs: int = RUNS,
) -> Measurement:
    """Call `run` at each size, all sizes in each of the runs in turn, so that a slow minute affects all of
    them."""
    points = [Point(size, []) for size in sizes]
    for _ in range(runs):
        for point in points:
            point.values.append(run(int(point.size)))
    return summarize(name, role, unit, count, points, fixed)


def summarize(
    name: str, role: str, unit: str, count: str, points: list[Point], fixed: str = ""
) -> Measurement:
    """Return the fits of measured points."""
    sizes = [point.size for point in points]
    means = [sum(point.values) / len(point.values) for point in points]
    by_run = [
        fit_line(sizes, [point.values[run] for point in points]).slope
        for run in range(min(len(point.values) for point in points))
    ]
    line = fit_line(sizes, means)
    return Measurement(
        name,
        role,
        unit,
        count,
        points,
        line.slope,
        min(by_run),
        max(by_run),
        line.intercept,
        fit_exponent(sizes, means),
        fixed,
    )
