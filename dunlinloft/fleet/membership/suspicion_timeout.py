"""The time for which a member stays suspect before it is declared dead.

The time-out grows with the logarithm of the fleet's size, as does the time in which updates reach all members
(SWIM, section 4.2). It starts high and decreases to its minimum with each independent suspecter (Lifeguard,
section IV.B).
"""

from __future__ import annotations

import math

MIN_SUSPICION_MS = 400.0  # for up to ten members; 500 ms exceeds the detection bound (docs/membership.md)
MAX_SUSPICION_MULTIPLIER = 6.0  # of the minimum, with a single suspecter; the value of Lifeguard's beta
FULL_CONFIRMATIONS = 3  # further suspecters at which the minimum applies; the value of Lifeguard's K
EXPECTED_CONFIRMERS = 4.0  # mean number of members that probe a suspect on first receiving the suspicion


def suspicion_timeout_ms(members: int, suspecters: int) -> float:
    """Return the time-out (ms) from the first receipt of the suspicion, in a fleet of `members`."""
    minimum_ms = MIN_SUSPICION_MS * max(1.0, math.log10(max(1, members)))
    needed = max(1, min(FULL_CONFIRMATIONS, members - 2))
    progress = math.log(max(1, suspecters)) / math.log(needed + 1)
    range_ms = (MAX_SUSPICION_MULTIPLIER - 1.0) * minimum_ms
    return max(minimum_ms, MAX_SUSPICION_MULTIPLIER * minimum_ms - range_ms * min(1.0, progress))
