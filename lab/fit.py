"""A straight line through measured points, with what it says beyond them and how sure that is."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line y = intercept + slope x, in the units of what was measured."""

    slope: float
    intercept: float
    slope_error: float  # standard error; 0 of two points, which say nothing of it
    r2: float  # share of the variance that the line explains; 1 where there is none
    points: int
    mean: float  # of x
    spread: float  # sum of squares of x about its mean
    residual: float  # standard deviation of the points about the line

    def at(self, x: float) -> tuple[float, float]:
        """What the line says at `x`, and the standard error of that (of the line, not of one more point)."""
        share = 1.0 / self.points + (x - self.mean) ** 2 / self.spread
        return self.intercept + self.slope * x, self.residual * math.sqrt(share)

    def reaches(self, y: float) -> float:
        """Where the line comes to `y`; inf where it rises to it nowhere."""
        return (y - self.intercept) / self.slope if self.slope > 0.0 else math.inf


def line(x: Sequence[float], y: Sequence[float]) -> Fit:
    """The line through these points; at least two different `x` are needed."""
    if len(x) != len(y):
        raise ValueError(f"{len(x)} places and {len(y)} values")
    if len(set(x)) < 2:
        raise ValueError("a line needs two different places")
    xs, ys = np.asarray(x, dtype=float), np.asarray(y, dtype=float)
    mean, height = float(xs.mean()), float(ys.mean())
    spread = float(((xs - mean) ** 2).sum())
    slope = float(((xs - mean) * (ys - height)).sum()) / spread
    intercept = height - slope * mean
    left = float(((ys - intercept - slope * xs) ** 2).sum())
    whole = float(((ys - height) ** 2).sum())
    free = len(xs) - 2
    residual = math.sqrt(left / free) if free else 0.0
    r2 = 1.0 - left / whole if whole > 0.0 else 1.0
    return Fit(slope, intercept, residual / math.sqrt(spread), r2, len(xs), mean, spread, residual)
