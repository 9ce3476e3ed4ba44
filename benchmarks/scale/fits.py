"""Lines and power laws through measured points, with the range of the slopes over several runs."""

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
    """Growth of one value with one count.

    Attributes:
        name: What was measured.
        role: The role of the program to which the value belongs.
        unit: Unit of the value.
        count: Name of the count.
        points: The measured values by count.
        slope: Slope of the least-squares line through the means of the runs.
        slope_low: Least slope of a single run.
        slope_high: Greatest slope of a single run.
        intercept: Intercept of the line.
        exponent: Exponent of a power law through the same points; 1 is proportional growth.
        fixed: What was constant while the count grew.
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
    fixed: str = ""


@dataclass(frozen=True)
class Line:
    """Straight line: `slope * size + intercept`."""

    slope: float
    intercept: float


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points; at least two sizes must differ."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
        / spread
    )
    return Line(slope, mean_value - slope * mean_size)


def fit_exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the exponent of a power law through the points; sizes and values must be positive."""
    min_value = 1e-12
    return fit_line([log(size) for size in sizes], [log(max(value, min_value)) for value in values]).slope


def power_law(sizes: Sequence[float], values: Sequence[float], size: float) -> float:
    """Return the value at `size` of the power law through the points, fitted as in `fit_exponent`."""
    line = fit_line([log(known_size) for known_size in sizes], [log(max(value, 1e-12)) for value in values])
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
    """Measure a value at each size, and return its growth.

    Each run measures all sizes in turn, so that a slow minute of the machine affects all of them.

    Args:
        name: What is measured.
        role: The role of the program to which the value belongs.
        unit: Unit of the value.
        count: Name of the count that the sizes are values of.
        sizes: The counts at which to measure.
        run: Returns the value at a size.
        fixed: What is constant while the count grows.
        runs: How often each size is measured.
    """
    points = [Point(size, []) for size in sizes]
    for _ in range(runs):
        for point in points:
            point.values.append(run(int(point.size)))
    return summarize(name, role, unit, count, points, fixed)


def summarize(
    name: str, role: str, unit: str, count: str, points: list[Point], fixed: str = ""
) -> Measurement:
    """Return the growth of a value of which the points are given, each with the values of all runs."""
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
