"""The tier's usual delay, and the delay target that follows from the least of it."""

from __future__ import annotations

import math

from dunlinloft.balancer.delay_controller import SAMPLES, TARGET_SHARE

PEER_SAMPLES = 100.0  # answers over which what all servers have in common is averaged
TARGET_OVER_MINIMUM = 1.25  # times the least mean delay is the target, where that is over `TARGET_SHARE`
TARGET_SHARE_MAX = 0.6


class LatencyBaseline:
    """Mean delay over its latency target, over all servers.

    Attributes
    ----------
    usual_share
        The mean; 0: not measured yet.
    samples
        Of how many answers it is, at most `PEER_SAMPLES`.
    """

    def __init__(self) -> None:
        self.usual_share = 0.0
        self.samples = 0.0
        self._minimum_share = math.inf  # the least that the mean has been: of a tier where little queues

    @property
    def established(self) -> bool:
        """Whether enough answers were measured to compare others with their mean."""
        return self.samples >= SAMPLES

    def record(self, share: float) -> None:
        """Take an answer's delay over its latency target."""
        self.samples = min(self.samples + 1.0, PEER_SAMPLES)
        self.usual_share += (share - self.usual_share) / self.samples
        if self.established:
            self._minimum_share = min(self._minimum_share, self.usual_share)

    def target_share(self) -> float:
        """The delay target over the latency target.

        A target under the tier's own delay would call every load too much.
        """
        return min(max(TARGET_SHARE, TARGET_OVER_MINIMUM * self._minimum_share), TARGET_SHARE_MAX)
