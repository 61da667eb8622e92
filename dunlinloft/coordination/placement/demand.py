"""What placement has to know of a request, and the cache keys of its prompt."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import NamedTuple


class SegmentKey(NamedTuple):
    """Key of a prompt segment together with all before it.

    A server's attention state of a segment depends on everything before it, so a segment is only cached for
    the prefix that it ends.
    """

    prefix_digest: bytes
    tokens: int  # of this segment alone


class SharedPrefix(NamedTuple):
    """The prefix of a prompt that other requests share: all but its last segment."""

    name: str  # of the prefix's last segment
    tokens: int  # up to the end of that segment


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request as it is compared with each server's load and prefix cache."""

    keys: tuple[SegmentKey, ...]  # of its prompt's segments, in order
    prompt_tokens: int
    max_output_tokens: int

    @property
    def total_tokens(self) -> int:
        """KV cache memory that it may take, in tokens."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class PlacementDemand:
    """What a request needs of a server; the fields are those of the message `PlacementQuery`."""

    prompt_segments: tuple[tuple[str, int], ...]  # in order: name and tokens
    max_output_tokens: int
    wait_for_capacity: bool = False  # it accepts no server without free capacity

    @property
    def shared_prefix(self) -> SharedPrefix | None:
        """The prefix that others share; None where there is only one segment, or none."""
        if len(self.prompt_segments) < 2:
            return None
        name, _ = self.prompt_segments[-2]
        return SharedPrefix(name, sum(tokens for _, tokens in self.prompt_segments[:-1]))

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the complete prompt."""
        return sum(tokens for _, tokens in self.prompt_segments)

    def with_cache_keys(self) -> KeyedRequest:
        """Return the request with the cache keys of its prompt's segments, to be computed once."""
        keys = []
        prefix_hash = hashlib.blake2b(digest_size=8)
        for name, tokens in self.prompt_segments:
            prefix_hash.update(f"{name}:{tokens},".encode())
            keys.append(SegmentKey(prefix_hash.digest(), tokens))
        return KeyedRequest(tuple(keys), self.prompt_tokens, self.max_output_tokens)
