"""Least-squares fit of a figure over the fleet's size, extrapolated to a target size."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from lab.fit import line


class FittedLine(Struct):
    """A line fitted to samples; errors are standard errors, None if there are too few samples.

    `at_target` is the line's value at the target, with the standard error of the line there. The error does
    not cover deviations of the figure from a straight line.
    """

    slope: float
    intercept: float
    slope_error: float | None
    intercept_error: float | None
    r2: float | None  # None if all samples are equal
    at_target: float
    at_target_error: float | None
    samples: int


def fit(sizes: Sequence[float], values: Sequence[float], target: float) -> FittedLine | None:
    """Fit a line; returns None for fewer than two different sizes."""
    if len(set(sizes)) < 2:
        return None
    found = line(sizes, values)
    at_target, error = found.at(target)
    errors = (found.slope_error, found.at(0.0)[1], error) if found.points > 2 else (None, None, None)
    r2 = found.r2 if len(set(values)) > 1 else None
    return FittedLine(
        found.slope, found.intercept, errors[0], errors[1], r2, at_target, errors[2], found.points
    )  # fmt: skip
