"""How long a member may be suspected before it is called dead.

The time grows with the logarithm of the fleet's size, as news takes so long to reach all; it starts
high and falls with each independent accuser to its least (Lifeguard, section IV.B).
"""

from __future__ import annotations

import math

LEAST_MS = 400.0  # for up to ten members
MOST_TIMES = 6.0  # the least time, while nobody else accuses
ENOUGH = 3  # accusers beyond the first, for the least time
CONFIRMERS = 4.0  # members that look for themselves when they first hear of a suspicion, on average


def wait_ms(members: int, accusers: int) -> float:
    """How long to wait from when a suspicion was first heard of, by so many accusers."""
    least = LEAST_MS * max(1.0, math.log10(max(1, members)))
    enough = max(1, min(ENOUGH, members - 2))
    share = math.log(max(1, accusers)) / math.log(enough + 1)
    return max(least, MOST_TIMES * least - (MOST_TIMES - 1.0) * least * min(1.0, share))
