"""Least squares: how a figure grows with the fleet's size, and what that comes to far out."""

from __future__ import annotations

import math
from collections.abc import Sequence

import numpy as np
from msgspec import Struct


class Line(Struct):
    """The straight line through samples; errors are standard errors, None where too few samples tell.

    `at_target` is the line's value at the target and its error that of the line there: it says nothing of
    whether the figure goes on in a straight line.
    """

    slope: float
    intercept: float
    slope_error: float | None
    intercept_error: float | None
    r2: float | None  # None where the samples don't differ
    at_target: float
    at_target_error: float | None
    samples: int


def fit(sizes: Sequence[float], values: Sequence[float], target: float) -> Line | None:
    """The line through these; None where fewer than two sizes differ."""
    x, y = np.asarray(sizes, dtype=float), np.asarray(values, dtype=float)
    if len(np.unique(x)) < 2:
        return None
    middle, spread = float(x.mean()), float(((x - x.mean()) ** 2).sum())
    slope = float(((x - middle) * (y - y.mean())).sum() / spread)
    intercept = float(y.mean()) - slope * middle
    left = float(((y - intercept - slope * x) ** 2).sum())
    whole = float(((y - y.mean()) ** 2).sum())

    def error(times: float) -> float | None:
        return math.sqrt(left / (len(x) - 2) * times) if len(x) > 2 else None

    return Line(
        slope,
        intercept,
        error(1.0 / spread),
        error(1.0 / len(x) + middle**2 / spread),
        1.0 - left / whole if whole > 0.0 else None,
        intercept + slope * target,
        error(1.0 / len(x) + (target - middle) ** 2 / spread),
        len(x),
    )
