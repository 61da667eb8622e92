"""Cost of sending a request to a server: waiting time and wasted work, in prompt tokens to process."""

from __future__ import annotations

from dunlinloft.coordination.placement.demand import KeyedRequest
from dunlinloft.coordination.placement.server_load import LONG_PROMPT_TOKENS, ServerLoad

# Cost of a long prompt for each short prompt that it slows down, as a fraction of its tokens to prefill.
INTERFERENCE_FRACTION = 0.15
# Cost of a short prompt's expected slowdown, as a fraction of the server's recent prefill of long prompts.
RECENT_PREFILL_FRACTION = 0.25
# Cost of prefilling a recently used shared segment again, as a multiple of its tokens.
REPEATED_PREFILL_MULTIPLE = 4.0
# Margin in tokens above the lowest cost within which servers count as equally good (`service`).
NEAR_BEST_TOKENS = 400.0
# Cost in tokens of each request in flight, for a request whose prompt is unknown.
UNKNOWN_PROMPT_COST_TOKENS = 2.0 * NEAR_BEST_TOKENS
# Costs in tokens of a server without free capacity, and of one that failed within `FAILURE_PENALTY_MS`: so
# high that other servers are preferred.
FULL_SERVER_COST_TOKENS = 1e6
FAILED_SERVER_COST_TOKENS = 1e5
FAILURE_PENALTY_MS = 1_000.0


def placement_cost(load: ServerLoad, request: KeyedRequest, recent_segments: int, now_ms: float) -> float:
    """Return the cost of a request at a server, in prompt tokens.

    `recent_segments` is the number of leading segments of its prompt that were recently used anywhere in the
    service.
    """
    cached_segments = load.prefix_cache.hit_segments(request.keys)
    miss_tokens = sum(key.tokens for key in request.keys[cached_segments:])
    repeated_tokens = sum(key.tokens for key in request.keys[cached_segments:recent_segments])
    cost = load.pending_prefill_tokens + miss_tokens + (REPEATED_PREFILL_MULTIPLE - 1.0) * repeated_tokens
    if request.prompt_tokens < LONG_PROMPT_TOKENS:
        cost += RECENT_PREFILL_FRACTION * load.recent_long_prefill.value(now_ms)
    else:
        cost += INTERFERENCE_FRACTION * miss_tokens * load.short_prompts_in_flight
    if not request.prompt_tokens:
        cost += UNKNOWN_PROMPT_COST_TOKENS * load.in_flight
    if load.is_full(request.total_tokens):
        cost += FULL_SERVER_COST_TOKENS * (1.0 + load.in_flight / max(1, load.record.capacity))
    if now_ms - load.failed_ms < FAILURE_PENALTY_MS:
        cost += FAILED_SERVER_COST_TOKENS
    return cost
