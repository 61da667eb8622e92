"""Model of a server's prefix cache: an LRU cache of prompt segments."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from dunlinloft.coordination.placement.demand import SegmentKey


class PrefixCache:
    """The prompt segments that a server is assumed to have in its KV cache; owned by its `ServerLoad`.

    Servers do not report what they have cached, so each prompt sent to a server counts as cached there.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._segment_tokens: OrderedDict[bytes, int] = OrderedDict()  # least recently used first
        self._cached_tokens = 0

    @property
    def cached_tokens(self) -> int:
        """Tokens of all cached segments."""
        return self._cached_tokens

    def hit_segments(self, keys: Sequence[SegmentKey]) -> int:
        """Return the number of a prompt's leading segments that are cached."""
        for index, key in enumerate(keys):
            if key.prefix_digest not in self._segment_tokens:
                return index
        return len(keys)

    def miss_tokens(self, keys: Sequence[SegmentKey]) -> int:
        """Return the number of a prompt's tokens that the server would have to prefill."""
        return sum(key.tokens for key in keys[self.hit_segments(keys) :])

    def insert(self, keys: Sequence[SegmentKey]) -> None:
        """Add a prompt's segments and evict the least recently used ones beyond the capacity."""
        for key in keys:
            if key.prefix_digest in self._segment_tokens:
                self._segment_tokens.move_to_end(key.prefix_digest)
            else:
                self._segment_tokens[key.prefix_digest] = key.tokens
                self._cached_tokens += key.tokens
        while self._cached_tokens > self.capacity_tokens and self._segment_tokens:
            _, tokens = self._segment_tokens.popitem(last=False)
            self._cached_tokens -= tokens
