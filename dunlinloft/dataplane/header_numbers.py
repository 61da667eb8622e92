"""Numbers in clients' headers.

What is not a number that this node and the control plane can compute with and pass on counts as malformed: a
`nan` compares as neither early nor late, and a very long number overflows.
"""

from __future__ import annotations

import math

MAX_TOKEN_COUNT_DIGITS = 12


def token_count(text: str) -> int:
    """Parse a number of tokens. Raises `ValueError`."""
    digits = text.strip()
    if not digits.isascii() or not digits.isdecimal() or len(digits) > MAX_TOKEN_COUNT_DIGITS:
        raise ValueError(f"not a number of tokens: {text!r}")
    return int(digits)


def finite_number(text: str) -> float:
    """Parse a number that is neither infinite nor `nan`. Raises `ValueError`."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"not a finite number: {text!r}")
    return number
