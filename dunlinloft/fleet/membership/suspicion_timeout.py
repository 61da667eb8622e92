"""How long a member stays suspect before it is declared dead.

The time-out grows with the logarithm of the fleet's size, as updates take that long to reach all (SWIM,
section 4.2). It starts high and falls with each independent suspecter to its minimum (Lifeguard, section
IV.B).
"""

from __future__ import annotations

import math

MIN_SUSPICION_MS = 400.0  # for up to ten members; 500 ms missed the bound on detection (docs/membership.md)
MAX_SUSPICION_MULTIPLIER = 6.0  # of the minimum while nobody else suspects; Lifeguard's beta is 6 too
FULL_CONFIRMATIONS = 3  # further suspecters that bring the minimum; Lifeguard's K is 3 too
EXPECTED_CONFIRMERS = 4.0  # members that probe for themselves when they first receive a suspicion, on average


def suspicion_timeout_ms(members: int, suspecters: int) -> float:
    """Time-out (ms) since the suspicion was first received, in a fleet of `members`."""
    minimum_ms = MIN_SUSPICION_MS * max(1.0, math.log10(max(1, members)))
    needed = max(1, min(FULL_CONFIRMATIONS, members - 2))
    progress = math.log(max(1, suspecters)) / math.log(needed + 1)
    range_ms = (MAX_SUSPICION_MULTIPLIER - 1.0) * minimum_ms
    return max(minimum_ms, MAX_SUSPICION_MULTIPLIER * minimum_ms - range_ms * min(1.0, progress))
