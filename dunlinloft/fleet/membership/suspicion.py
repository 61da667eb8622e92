"""How long a member may be suspected before it is called dead.

The time grows with the logarithm of the fleet's size, as news takes so long to reach all; it starts
high and falls with each independent accuser to its least (Lifeguard, section IV.B).
"""

from __future__ import annotations

import math

MIN_SUSPICION_MS = 400.0  # for up to ten members
MAX_SUSPICION_MULTIPLIER = 6.0  # the least time, while nobody else accuses
FULL_CONFIRMATIONS = 3  # accusers beyond the first, for the least time
EXPECTED_CONFIRMERS = 4.0  # members that look for themselves when they first hear of a suspicion, on average


def suspicion_timeout_ms(members: int, accusers: int) -> float:
    """How long to wait from when a suspicion was first heard of, by so many accusers."""
    least = MIN_SUSPICION_MS * max(1.0, math.log10(max(1, members)))
    enough = max(1, min(FULL_CONFIRMATIONS, members - 2))
    share = math.log(max(1, accusers)) / math.log(enough + 1)
    return max(
        least, MAX_SUSPICION_MULTIPLIER * least - (MAX_SUSPICION_MULTIPLIER - 1.0) * least * min(1.0, share)
    )
