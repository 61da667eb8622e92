"""A token bucket; its rate and burst are the caller's to decide."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a rate, up to a burst; the caller passes both, as they may change."""

    __slots__ = ("_refilled_ms", "tokens")

    def __init__(self, tokens: float, now_ms: float) -> None:
        self.tokens = tokens
        self._refilled_ms = now_ms

    def refill(self, per_ms: float, burst: float, now_ms: float) -> float:
        """Add what has accrued since the last call; returns the tokens available."""
        self.tokens = min(burst, self.tokens + per_ms * (now_ms - self._refilled_ms))
        self._refilled_ms = now_ms
        return self.tokens

    def take(self, per_ms: float, burst: float, now_ms: float) -> bool:
        """Take a token, if one is available."""
        if self.refill(per_ms, burst, now_ms) < 1.0:
            return False
        self.tokens -= 1.0
        return True
