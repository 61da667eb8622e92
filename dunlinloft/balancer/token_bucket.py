"""A token bucket whose rate and burst are set by the caller."""

from __future__ import annotations


class TokenBucket:
    """A token bucket; the rate and burst are passed on each call, as they may change."""

    __slots__ = ("_refilled_ms", "tokens")

    def __init__(self, tokens: float, now_ms: float) -> None:
        self.tokens = tokens
        self._refilled_ms = now_ms

    def refill(self, per_ms: float, burst: float, now_ms: float) -> float:
        """Add the tokens accrued since the last refill and return the number available."""
        self.tokens = min(burst, self.tokens + per_ms * (now_ms - self._refilled_ms))
        self._refilled_ms = now_ms
        return self.tokens

    def take(self, per_ms: float, burst: float, now_ms: float) -> bool:
        """Take a token if one is available, and return whether one was."""
        if self.refill(per_ms, burst, now_ms) < 1.0:
            return False
        self.tokens -= 1.0
        return True
