"""Fencing: a process that executes a leader's requests rejects tokens lower than the highest it has seen.

A fencing token corresponds to the sequencer of Chubby (Burrows 2006, section 2.4).
"""

from __future__ import annotations


class FencingGuard:
    """The highest fencing token of each role that this process has seen."""

    def __init__(self) -> None:
        self.highest_tokens: dict[str, int] = {}
        self.rejected = 0  # number of actions with an outdated token

    def admits(self, role: str, token: int) -> bool:
        """Return whether an action with this token may be executed, and record the token if so."""
        if token < self.highest_tokens.get(role, 0):
            self.rejected += 1
            return False
        self.highest_tokens[role] = token
        return True
