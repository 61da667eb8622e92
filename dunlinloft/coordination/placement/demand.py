"""The properties of a request that placement uses, and the cache keys of its prompt."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple


class SegmentKey(NamedTuple):
    """Cache key of a prompt segment together with all preceding segments.

    The attention state of a segment depends on everything before it, so a cached segment is only valid for
    the prefix that it ends.
    """

    prefix_digest: bytes
    tokens: int  # of this segment alone


class SharedPrefix(NamedTuple):
    """The prefix of a prompt that other requests share: all segments but the last."""

    name: str  # of the last segment of the prefix
    tokens: int  # of the whole prefix


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with its cache keys, to be compared with each server's load and prefix cache."""

    keys: tuple[SegmentKey, ...]  # of the prompt segments, in order
    prompt_tokens: int
    max_output_tokens: int

    @property
    def total_tokens(self) -> int:
        """Maximum KV cache memory that the request may use, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class PlacementDemand:
    """A request's resource demand; its fields are those of the `PlacementQuery` message."""

    prompt_segments: tuple[tuple[str, int], ...]  # name and tokens of each segment, in order
    max_output_tokens: int
    wait_for_capacity: bool = False  # accept only a server with free capacity

    @property
    def shared_prefix(self) -> SharedPrefix | None:
        """The prefix that other requests share; None if the prompt has fewer than two segments."""
        if len(self.prompt_segments) < 2:
            return None
        name, _ = self.prompt_segments[-2]
        return SharedPrefix(name, sum(tokens for _, tokens in self.prompt_segments[:-1]))

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the complete prompt."""
        return sum(tokens for _, tokens in self.prompt_segments)

    def with_cache_keys(self) -> KeyedRequest:
        """Return the request with the cache keys of its prompt; call it only once per request."""
        keys = []
        prefix_hash = hashlib.blake2b(digest_size=8)
        for name, tokens in self.prompt_segments:
            prefix_hash.update(f"{name}:{tokens},".encode())
            keys.append(SegmentKey(prefix_hash.digest(), tokens))
        return KeyedRequest(tuple(keys), self.prompt_tokens, self.max_output_tokens)
