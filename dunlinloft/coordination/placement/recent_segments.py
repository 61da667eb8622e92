"""When shared prompt segments were last used anywhere in the service."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from dunlinloft.coordination.placement.demand import SegmentKey

MAX_TRACKED_SEGMENTS = 100_000  # bounds the memory; those unused for longest are forgotten first


class RecentSegments:
    """Last use of each shared segment of one service; owned by its `ServicePlacement`.

    Attributes
    ----------
    reuse_window_ms
        Prefilling a shared segment again within so long of its last use is a waste: it is cached somewhere.
    """

    def __init__(self, reuse_window_ms: float) -> None:
        self.reuse_window_ms = reuse_window_ms
        self._last_used_ms: OrderedDict[bytes, float] = OrderedDict()  # least recently used first

    def record_use(self, keys: Sequence[SegmentKey], now_ms: float) -> int:
        """Note the use of a prompt's shared segments, which are all but its last.

        Returns how many of its leading segments were used within the reuse window before.
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
