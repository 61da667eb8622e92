"""Whether and when a request may be retried: idempotency, the configured retry budget and back-off.

Whether the measured delay allows a retry is decided by `delay_controller`.
"""

from __future__ import annotations

import math

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.averages import SlidingWindowCounter
from dunlinloft.balancer.call import Call
from dunlinloft.balancer.interface import DedupScope, Idempotency, Result

# T1, the mean delay before the first retry, is the lesser of these two. It doubles with each further retry.
BACKOFF_BASE_MS = 500.0
BACKOFF_BASE_SHARE = 0.2  # as a share of the latency target
NOT_EXECUTED_RESULTS = frozenset((Result.REJECTED, Result.UNREACHABLE, Result.NOT_SENT))


class RetryPolicy:
    """The retries that a request's class and the retry budget allow. Owned by `Balancer`.

    Attributes
    ----------
    not_executed_results
        The results which prove that an attempt was not executed.
    processes
        Number of processes that serve as this node and divide the budget's floor among them.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        self.processes = 1
        self.not_executed_results = _not_executed_results(settings)
        # One tick of tolerance: requests are counted over a shorter window than the budget's, retries over a
        # longer.
        self._requests = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings and keep the counts."""
        self._settings = settings
        self.not_executed_results = _not_executed_results(settings)
        self._requests.set_window(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries.set_window(settings.retry_budget_window_ms + settings.tick_ms)

    def count_request(self, now_ms: float) -> None:
        """Count an accepted request."""
        self._requests.add(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """Count a retry that was sent."""
        self._retries.add(now_ms)

    def within_budget(self, now_ms: float) -> bool:
        """Return whether the retry budget allows one more retry now (rule 5)."""
        ratio = self._settings.retry_budget_ratio
        requests = self._requests.count(now_ms)
        floor = self._settings.retry_budget_floor / self.processes
        return ratio is None or self._retries.count(now_ms) + 1 <= floor + ratio * requests

    def may_send(self, call: Call, now_ms: float) -> bool:
        """Return whether the call's class allows another attempt now (rule 2).

        It always allows the first one.
        """
        return self.send_window_ms(call, now_ms) > 0.0

    def send_window_ms(self, call: Call, now_ms: float) -> float:
        """Return for how long the call's class allows another attempt.

        For keyed classes this is until servers may have dropped the request's key.
        """
        if call.first_execution_ms is None or call.cls.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return 0.0
        return call.first_execution_ms + call.cls.dedup_window_ms - self._settings.tick_ms - now_ms

    def is_last_attempt(self, call: Call) -> bool:
        """Return whether the attempt that was just counted is certainly the call's last."""
        non_idempotent = call.cls.idempotency is Idempotency.NON_IDEMPOTENT
        return non_idempotent or call.attempts == self._settings.max_attempts

    def backoff_ms(self, call: Call) -> float:
        """Return the mean delay before a retry; also the Retry-After time for callers."""
        base_ms = min(BACKOFF_BASE_MS, BACKOFF_BASE_SHARE * call.cls.latency_target_ms)
        return base_ms * 2.0 ** max(0, call.attempts - 1)

    def retry_is_safe(self, call: Call) -> bool:
        """Return whether the client may retry the request at any server without executing it twice."""
        if call.in_flight:
            return False
        dedup_everywhere = (
            call.cls.idempotency is Idempotency.KEYED and call.cls.dedup_scope is DedupScope.ALL
        )
        return (
            call.first_execution_ms is None
            or dedup_everywhere
            or call.cls.idempotency is Idempotency.IDEMPOTENT
        )


def _not_executed_results(settings: api.Settings) -> frozenset[Result]:
    return NOT_EXECUTED_RESULTS - ({Result.REJECTED} if settings.rejected_may_have_run else set())
