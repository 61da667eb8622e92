"""Fencing: a process that acts on a leader's orders rejects tokens older than it has seen.

The fencing token is the sequencer of Chubby (Burrows 2006, section 2.4).
"""

from __future__ import annotations


class FencingGuard:
    """The greatest fencing token that one process has seen of each role."""

    def __init__(self) -> None:
        self.highest_tokens: dict[str, int] = {}
        self.rejected = 0  # actions with an outdated token

    def admits(self, role: str, token: int) -> bool:
        """Whether an action with this token may be carried out; notes the token if so."""
        if token < self.highest_tokens.get(role, 0):
            self.rejected += 1
            return False
        self.highest_tokens[role] = token
        return True
