"""Rendezvous hashing (Thaler and Ravishankar 1998): an order of members that all who know them agree on."""

from __future__ import annotations

import hashlib


def rank(subject: str, member: str | int) -> bytes:
    """A member's rank for a subject: the same at every process, and independent between subjects."""
    return hashlib.blake2b(f"{subject}/{member}".encode(), digest_size=8).digest()
