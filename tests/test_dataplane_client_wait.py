"""The estimate of how long a client has waited, and the priority that follows from it."""

from __future__ import annotations

from dunlinloft.dataplane.client_wait import ClientWaitEstimator, effective_priority


def test_wait_is_estimated_from_the_remaining_time_of_a_later_attempt() -> None:
    client_wait = ClientWaitEstimator()
    assert client_wait.waited_ms("chat", 2_000.0) == 0.0
    assert client_wait.waited_ms("chat", 1_400.0) == 600.0
    assert client_wait.waited_ms("other", 500.0) == 0.0


def test_request_past_its_latency_target_gets_a_lower_priority() -> None:
    assert effective_priority(1, 100.0, 200.0) == 1
    assert effective_priority(1, 600.0, 200.0) == 5
    assert effective_priority(8, 600.0, 200.0) == 9
