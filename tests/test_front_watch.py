"""When the front admits a node whose readiness it polls."""

from __future__ import annotations

from lab.processes.front_watch import READY, UNREACHABLE, WITHDRAWAL_DELAY_MS, FrontWatch

UNREACHABLE_DELAY_MS = 500.0


def test_a_node_that_is_not_ready_is_withdrawn_after_a_delay() -> None:
    watch = FrontWatch(UNREACHABLE_DELAY_MS)
    watch.on_status(503, 1_000.0)
    watch.on_status(503, 999.0 + WITHDRAWAL_DELAY_MS)
    assert watch.admitted
    watch.on_status(503, 1_000.0 + WITHDRAWAL_DELAY_MS)
    assert not watch.admitted
    watch.on_status(READY, 2_000.0)
    assert watch.admitted


def test_an_unreachable_node_is_withdrawn_after_the_notice_time() -> None:
    watch = FrontWatch(UNREACHABLE_DELAY_MS)
    watch.on_status(UNREACHABLE, 1_000.0)
    watch.on_status(UNREACHABLE, 999.0 + UNREACHABLE_DELAY_MS)
    assert watch.admitted
    watch.on_status(UNREACHABLE, 1_000.0 + UNREACHABLE_DELAY_MS)
    assert not watch.admitted


def test_a_ready_answer_starts_both_delays_again() -> None:
    watch = FrontWatch(UNREACHABLE_DELAY_MS)
    for at_ms, status in ((0.0, 503), (100.0, UNREACHABLE), (150.0, READY), (250.0, 503), (400.0, 503)):
        watch.on_status(status, at_ms)
    assert watch.admitted
    watch.on_status(UNREACHABLE, 600.0)
    assert watch.admitted
