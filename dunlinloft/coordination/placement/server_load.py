"""Estimate of one server's load: requests in flight, pending prefill and cached prompt segments."""

from __future__ import annotations

import math
from dataclasses import dataclass

from dunlinloft.coordination.decaying_sum import DecayingSum
from dunlinloft.coordination.placement.demand import KeyedRequest
from dunlinloft.coordination.placement.prefix_cache import PrefixCache
from dunlinloft.coordination.stream import ServerRecord

# The prefill of a prompt with at least this many tokens slows down concurrent requests.
LONG_PROMPT_TOKENS = 1_024
# Fraction of a server's KV cache memory that is assumed to hold prompt segments.
PREFIX_CACHE_MEMORY_FRACTION = 0.7
# KV cache memory in tokens of a server for which none is configured.
DEFAULT_KV_CACHE_TOKENS = 200_000
# Time constant with which the estimate of recent prefill decays.
RECENT_PREFILL_DECAY_MS = 3_000.0


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that was sent to a server and has not completed."""

    server: ServerLoad
    pending_prefill_tokens: float  # 0 after the first output
    reserved_tokens: int  # KV cache memory for the prompt and the output
    has_short_prompt: bool


class ServerLoad:
    """The load of one server as known to the service's owner; owned by `ServicePlacement`.

    Attributes
    ----------
    kv_cache_tokens
        KV cache memory in tokens.
    rotation_weight
        Current weight in the smooth weighted round robin; read and written by `Rotation`.
    in_flight
        Number of requests that were sent to the server and have not completed.
    short_prompts_in_flight
        Number of requests in flight with a short prompt, which a long prompt would slow down.
    pending_prefill_tokens
        Prompt tokens of requests in flight that are not prefilled yet.
    reserved_tokens
        KV cache memory that the requests in flight may use, in tokens.
    recent_long_prefill
        Recently prefilled tokens of long prompts.
    failed_ms
        Time when the server last failed a request.
    """

    def __init__(self, record: ServerRecord, kv_cache_tokens: int) -> None:
        self.record = record
        self.kv_cache_tokens = kv_cache_tokens
        self.prefix_cache = PrefixCache(PREFIX_CACHE_MEMORY_FRACTION * kv_cache_tokens)
        self.rotation_weight: float | None = None
        self.in_flight = 0
        self.short_prompts_in_flight = 0
        self.pending_prefill_tokens = 0.0
        self.reserved_tokens = 0
        self.recent_long_prefill = DecayingSum(RECENT_PREFILL_DECAY_MS)
        self.failed_ms = -math.inf

    @property
    def free_capacity(self) -> int:
        """Number of further requests that the server can take; negative if nodes sent it too many."""
        return self.record.capacity - self.in_flight

    def is_full(self, tokens: int) -> bool:
        """Return whether the server lacks the capacity or the memory for a request of `tokens` tokens."""
        return self.free_capacity <= 0 or self.reserved_tokens + tokens > self.kv_cache_tokens

    def set_kv_cache_tokens(self, tokens: int) -> None:
        """Set the configured KV cache memory; the prefix cache adapts on the next request."""
        self.kv_cache_tokens = tokens
        self.prefix_cache.capacity_tokens = PREFIX_CACHE_MEMORY_FRACTION * tokens

    def on_sent(self, request: KeyedRequest, now_ms: float) -> InFlightRequest:
        """Count a request that is being sent to this server."""
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
        """Record the first output of a request, which means that its prompt has been prefilled."""
        self.pending_prefill_tokens = max(0.0, self.pending_prefill_tokens - request.pending_prefill_tokens)
        request.pending_prefill_tokens = 0.0

    def on_completed(self, request: InFlightRequest, server_failed: bool, now_ms: float) -> None:
        """Record the end of a request, successful or not."""
        self.in_flight -= 1
        self.short_prompts_in_flight -= request.has_short_prompt
        self.pending_prefill_tokens = max(0.0, self.pending_prefill_tokens - request.pending_prefill_tokens)
        self.reserved_tokens -= request.reserved_tokens
        if server_failed:
            self.failed_ms = now_ms
