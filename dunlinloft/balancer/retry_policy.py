"""Whether a request may be sent again, and when: idempotency, the stated retry budget and back-off.

Whether the delay allows a retry is decided by `delay_controller`.
"""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.averages import SlidingWindowCounter
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.interface import DedupScope, Idempotency, Result

# T1, the wait before the first retry, doubled with each further one and jittered: the lesser of the two.
BACKOFF_BASE_MS = 500.0
BACKOFF_BASE_SHARE = 0.2  # of the latency target
NOT_EXECUTED_RESULTS = frozenset((Result.REJECTED, Result.UNREACHABLE, Result.NOT_SENT))


class RetryPolicy:
    """What the class of a request and the operators' budget allow. Owned by `Balancer`.

    Attributes
    ----------
    proofs_not_run
        The results that prove that an attempt never ran.
    processes
        That serve as this one node; the free retries are for all of them together.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self.processes = 1
        self.not_executed_results = _not_executed_results(settings)
        # A tick to spare at both edges of the window that the budget is counted over.
        self._requests = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)

    def reconfigure(self, settings: api.Settings) -> None:
        """Take new settings; what was counted stays."""
        self._settings = settings
        self.not_executed_results = _not_executed_results(settings)
        self._requests.set_window(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries.set_window(settings.retry_budget_window_ms + settings.tick_ms)

    def count_request(self, now_ms: float) -> None:
        """A request was accepted."""
        self._requests.add(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """An attempt beyond a request's first was sent."""
        self._retries.add(now_ms)

    def within_budget(self, now_ms: float) -> bool:
        """Whether the stated budget of retries bears one more now (rule 5)."""
        ratio = self._settings.retry_budget_ratio
        requests = self._requests.count(now_ms)
        free = self._settings.retry_budget_floor / self.processes
        return ratio is None or self._retries.count(now_ms) + 1 <= free + ratio * requests

    def may_send(self, call: Call, now_ms: float) -> bool:
        """Whether the class lets the call go out, for the first time or again (rule 2)."""
        return self.send_window_ms(call, now_ms) > 0.0

    def send_window_ms(self, call: Call, now_ms: float) -> float:
        """For how long the class lets the call go out: until servers may have forgotten its key."""
        if call.first_execution_ms is None or call.cls.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0.0
        return call.first_execution_ms + call.cls.dedup_window_ms - self._settings.tick_ms - now_ms

    def is_last_attempt(self, call: Call) -> bool:
        """Whether the attempt that was just counted is the call's last for sure."""
        non_idempotent = call.cls.idempotency is Idempotency.NON_IDEMPOTENT
        return non_idempotent or call.attempts == self._settings.max_attempts

    def backoff_ms(self, call: Call) -> float:
        """The mean wait before a retry, or before the caller's own next one."""
        base_ms = min(BACKOFF_BASE_MS, BACKOFF_BASE_SHARE * call.cls.latency_target_ms)
        return base_ms * 2.0 ** max(0, call.attempts - 1)

    def retry_is_safe(self, call: Call) -> bool:
        """Whether the client may be told that sending the request again does no harm, to whichever server."""
        if call.in_flight:
            return False
        everywhere = call.cls.idempotency is Idempotency.KEYED and call.cls.dedup_scope is DedupScope.ALL
        return call.first_execution_ms is None or everywhere or call.cls.idempotency is Idempotency.IDEMPOTENT


def _not_executed_results(settings: api.Settings) -> frozenset[Result]:
    return NOT_EXECUTED_RESULTS - ({Result.REJECTED} if settings.rejected_may_have_run else set())
