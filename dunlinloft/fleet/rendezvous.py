"""Rendezvous hashing (Thaler and Ravishankar 1998): an order of members that all processes agree on."""

from __future__ import annotations

import hashlib


def rank(subject: str, member: str | int) -> bytes:
    """Return a member's rank for a subject, equal on all processes and independent between subjects."""
    return hashlib.blake2b(f"{subject}/{member}".encode(), digest_size=8).digest()
