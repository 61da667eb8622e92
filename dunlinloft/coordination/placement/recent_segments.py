"""Time of the last use of shared prompt segments anywhere in a service."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from dunlinloft.coordination.placement.demand import SegmentKey

MAX_TRACKED_SEGMENTS = 100_000  # limits memory use; the least recently used are dropped first


class RecentSegments:
    """Last use of each shared segment of one service; owned by its `ServicePlacement`.

    Attributes
    ----------
    reuse_window_ms
        Time after its last use during which prefilling a shared segment again is wasted work, since it is
        still cached on some server.
    """

    def __init__(self, reuse_window_ms: float) -> None:
        self.reuse_window_ms = reuse_window_ms
        self._last_used_ms: OrderedDict[bytes, float] = OrderedDict()  # least recently used first

    def record_use(self, keys: Sequence[SegmentKey], now_ms: float) -> int:
        """Record the use of a prompt's shared segments: all but the last.

        Returns the number of leading segments that were last used within the reuse window.
        """
        recent = 0
        for index, key in enumerate(keys[:-1]):
            last_used_ms = self._last_used_ms.get(key.prefix_digest)
            if last_used_ms is not None and now_ms - last_used_ms <= self.reuse_window_ms:
                recent = index + 1
            self._last_used_ms[key.prefix_digest] = now_ms
            self._last_used_ms.move_to_end(key.prefix_digest)
        while len(self._last_used_ms) > MAX_TRACKED_SEGMENTS:
            self._last_used_ms.popitem(last=False)
        return recent
