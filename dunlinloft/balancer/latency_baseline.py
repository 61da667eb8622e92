"""The tier's usual delay, and the delay target that is derived from its minimum."""

from __future__ import annotations

import math

from dunlinloft.balancer.delay_controller import SAMPLES, TARGET_SHARE

PEER_SAMPLES = 100.0  # number of answers that averages over all servers are taken over
TARGET_OVER_MINIMUM = 1.25  # delay target as a multiple of the minimum mean delay, if above `TARGET_SHARE`
TARGET_SHARE_MAX = 0.6  # maximum delay target as a share of the latency target


class LatencyBaseline:
    """Mean delay of all servers, as a share of the latency target.

    Attributes
    ----------
    usual_share
        The mean; 0 before the first measurement.
    samples
        Number of answers that it is averaged over, at most `PEER_SAMPLES`.
    """

    def __init__(self) -> None:
        self.usual_share = 0.0
        self.samples = 0.0
        self._minimum_share = math.inf  # minimum of the mean: the delay with hardly any queueing

    @property
    def established(self) -> bool:
        """Whether enough answers have been measured for the mean to be used."""
        return self.samples >= SAMPLES

    def record(self, share: float) -> None:
        """Add an answer's delay as a share of its latency target."""
        self.samples = min(self.samples + 1.0, PEER_SAMPLES)
        self.usual_share += (share - self.usual_share) / self.samples
        if self.established:
            self._minimum_share = min(self._minimum_share, self.usual_share)

    def target_share(self) -> float:
        """Return the delay target as a share of the latency target.

        A target below the delay of an unloaded tier would treat every load as overload.
        """
        return min(max(TARGET_SHARE, TARGET_OVER_MINIMUM * self._minimum_share), TARGET_SHARE_MAX)
