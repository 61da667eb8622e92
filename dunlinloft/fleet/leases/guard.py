"""Fencing: whoever obeys a duty refuses a token lower than it has seen (sequencers, Burrows 2006)."""

from __future__ import annotations


class Guard:
    """What one process has seen of all duties' tokens."""

    def __init__(self) -> None:
        self.seen: dict[str, int] = {}
        self.refused = 0

    def obeys(self, duty: str, token: int) -> bool:
        """Whether to do what is asked with this token."""
        if token < self.seen.get(duty, 0):
            self.refused += 1
            return False
        self.seen[duty] = token
        return True
