from collections.abc import Callable, Sequence
from typing import Any

import numpy as np

class _Interval:
    low: float
    high: float

class _Bootstrap:
    confidence_interval: _Interval

class _Test:
    pvalue: float

def bootstrap(
    data: Sequence[Any],
    statistic: Callable[..., Any],
    *,
    n_resamples: int = ...,
    confidence_level: float = ...,
    method: str = ...,
    rng: np.random.Generator = ...,
) -> _Bootstrap: ...
def wilcoxon(x: Any, y: Any = ..., *, zero_method: str = ...) -> _Test: ...
