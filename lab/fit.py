"""Least-squares line through measured points, with extrapolation and its standard error."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line y = intercept + slope x, in the units of the measured values."""

    slope: float
    intercept: float
    slope_error: float  # standard error; 0 for two points, which do not determine it
    r2: float  # share of the variance explained by the line; 1 if there is no variance
    points: int
    mean: float  # of x
    spread: float  # sum of squares of x about its mean
    residual: float  # standard deviation of the points about the line

    def at(self, x: float) -> tuple[float, float]:
        """Return the value of the line at `x` and its standard error (of the line, not of a new point)."""
        variance_share = 1.0 / self.points + (x - self.mean) ** 2 / self.spread
        return self.intercept + self.slope * x, self.residual * math.sqrt(variance_share)

    def reaches(self, y: float) -> float:
        """Return the `x` at which the line reaches `y`; inf if the line does not rise."""
        return (y - self.intercept) / self.slope if self.slope > 0.0 else math.inf


def line(x: Sequence[float], y: Sequence[float]) -> Fit:
    """Fit a line through the points; needs at least two different `x`."""
    if len(x) != len(y):
        raise ValueError(f"{len(x)} x values and {len(y)} y values")
    if len(set(x)) < 2:
        raise ValueError("a line needs two different x values")
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    mean, mean_y = float(xs.mean()), float(ys.mean())
    spread = float(((xs - mean) ** 2).sum())
    slope = float(((xs - mean) * (ys - mean_y)).sum()) / spread
    intercept = mean_y - slope * mean
    residual_squares = float(((ys - intercept - slope * xs) ** 2).sum())
    total_squares = float(((ys - mean_y) ** 2).sum())
    degrees_of_freedom = len(xs) - 2
    residual = math.sqrt(residual_squares / degrees_of_freedom) if degrees_of_freedom else 0.0
    r2 = 1.0 - residual_squares / total_squares if total_squares > 0.0 else 1.0
    return Fit(slope, intercept, residual / math.sqrt(spread), r2, len(xs), mean, spread, residual)
