"""Estimate of one server's load: what it has in flight, has still to prefill, and has cached."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dunlinloft.coordination.decaying_sum import DecayingSum
from dunlinloft.coordination.placement.demand import KeyedRequest
from dunlinloft.coordination.placement.prefix_cache import PrefixCache
from dunlinloft.coordination.stream import ServerRecord

# A prompt of at least so many tokens slows down whatever runs beside it while it is prefilled.
LONG_PROMPT_TOKENS = 1_024
# Share of a server's KV cache memory that is taken to hold prompt segments.
PREFIX_CACHE_MEMORY_SHARE = 0.7
# KV cache memory of a server of which the configuration says nothing, in tokens.
DEFAULT_KV_CACHE_TOKENS = 200_000
# Time constant with which the estimate of recent prefill decays.
RECENT_PREFILL_DECAY_MS = 3_000.0


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that was sent to a server and has not completed."""

    server: ServerLoad
    pending_prefill_tokens: float  # to be prefilled for it; 0 once its first output came
    reserved_tokens: int  # of KV cache memory, for its prompt and its output
    has_short_prompt: bool


class ServerLoad:
    """The load of one server, as far as its service's owner knows; owned by `ServicePlacement`.

    Attributes
    ----------
    kv_cache_tokens
        Its KV cache memory.
    rotation_weight
        Its position in the weighted rotation; read and written by `Rotation`.
    in_flight
        Requests that were sent to it and have not completed.
    short_prompts_in_flight
        Those of them that have a short prompt, and that a long prompt would slow down.
    pending_prefill_tokens
        Prompt tokens that it has still to prefill.
    reserved_tokens
        KV cache memory that its requests in flight may take.
    recent_long_prefill
        Tokens of long prompts that it had to prefill recently.
    failed_ms
        When it last failed a request.
    """

    def __init__(self, record: ServerRecord, kv_cache_tokens: int) -> None:
        self.record = record
        self.kv_cache_tokens = kv_cache_tokens
        self.prefix_cache = PrefixCache(PREFIX_CACHE_MEMORY_SHARE * kv_cache_tokens)
        self.rotation_weight: float | None = None
        self.in_flight = 0
        self.short_prompts_in_flight = 0
        self.pending_prefill_tokens = 0.0
        self.reserved_tokens = 0
        self.recent_long_prefill = DecayingSum(RECENT_PREFILL_DECAY_MS)
        self.failed_ms = -math.inf

    @property
    def free_capacity(self) -> int:
        """Requests that it could serve beside those in flight; below 0 where nodes sent it more."""
        return self.record.capacity - self.in_flight

    def is_full(self, tokens: int) -> bool:
        """Return whether it has no capacity, or not the memory, for a request of so many tokens."""
        return self.free_capacity <= 0 or self.reserved_tokens + tokens > self.kv_cache_tokens

    def set_kv_cache_tokens(self, tokens: int) -> None:
        """Take the memory that the configuration states; takes effect on the cache with the next request."""
        self.kv_cache_tokens = tokens
        self.prefix_cache.capacity_tokens = PREFIX_CACHE_MEMORY_SHARE * tokens

    def on_sent(self, request: KeyedRequest, now_ms: float) -> InFlightRequest:
        """Count a request that is sent to this server."""
        miss_tokens = self.prefix_cache.miss_tokens(request.keys)
        has_short_prompt = 0 < request.prompt_tokens < LONG_PROMPT_TOKENS
        self.in_flight += 1
        self.short_prompts_in_flight += has_short_prompt
        self.pending_prefill_tokens += miss_tokens
        self.reserved_tokens += request.total_tokens
        if request.prompt_tokens >= LONG_PROMPT_TOKENS:
            self.recent_long_prefill.add(miss_tokens, now_ms)
        self.prefix_cache.insert(request.keys)
        return InFlightRequest(self, miss_tokens, request.total_tokens, has_short_prompt)

    def on_prefill_completed(self, request: InFlightRequest) -> None:
        """Note that the first output of a request came, so that its prompt has been processed."""
        self.pending_prefill_tokens = max(0.0, self.pending_prefill_tokens - request.pending_prefill_tokens)
        request.pending_prefill_tokens = 0.0

    def on_completed(self, request: InFlightRequest, server_failed: bool, now_ms: float) -> None:
        """Note that a request is no longer in flight."""
        self.in_flight -= 1
        self.short_prompts_in_flight -= request.has_short_prompt
        self.pending_prefill_tokens = max(0.0, self.pending_prefill_tokens - request.pending_prefill_tokens)
        self.reserved_tokens -= request.reserved_tokens
        if server_failed:
            self.failed_ms = now_ms
