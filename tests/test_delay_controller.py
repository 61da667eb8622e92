"""The delay controller, compared with manually computed results of the paper's equations."""

import math
import random

import pytest

from dunlinloft.balancer.delay_controller import (
    ADDED_CALLS_PER_SERVER,
    INITIAL_CALLS_PER_SERVER,
    PHASE_MARGIN,
    TARGET_SHARE,
    DelayController,
)


def record_steady_delay(
    controller: DelayController, delay_ms: float, count: int, gap_ms: float = 100.0
) -> float:
    """Record `count` answers with the same delay at regular intervals; return the time of the last."""
    now = 0.0
    for _ in range(count):
        now += gap_ms
        controller.record_answer(delay_ms, 1000.0, now, True)
    return now


def test_gains_follow_equations_40_and_41() -> None:
    assert math.degrees(PHASE_MARGIN) == pytest.approx(45.0)
    controller = DelayController()
    # tan 45 = 1: KP = KI = nu1 / sqrt 2
    assert controller._kp == pytest.approx(0.7071068)
    assert controller._ki == pytest.approx(0.7071068)


def test_delay_below_the_target_allows_all_retries() -> None:
    controller = DelayController()
    now = record_steady_delay(controller, 100.0, 50)
    assert controller.retry_probability(now) == 1.0


def test_delay_above_the_target_prevents_retries() -> None:
    controller = DelayController()
    now = record_steady_delay(controller, 2000.0, 50)
    assert controller.retry_probability(now) == 0.0


def test_integral_and_allowed_rate_match_manual_computation() -> None:
    """Two answers one second apart with a latency target of 1 s, so that tau0 = 0.4 s.

    The first takes 100 ms, so that e = 0.3 s; the second takes 1.3 s.
    """
    controller = DelayController()
    controller.record_answer(100.0, 1000.0, 1000.0, True)
    # nu1 = 1 / 1 s; a new controller starts with its integral at nu1, to which r and the integral are
    # clamped.
    assert controller.tuned_rate == pytest.approx(1.0)
    assert controller.integral == pytest.approx(1.0)
    assert controller.allowed_rate == pytest.approx(1.0)
    controller.record_answer(1300.0, 1000.0, 2000.0, True)
    # The older sample has decayed by exp(-1/5), and the error of two samples is divided by MIN_SAMPLES = 4: e
    # = (0.3 * 0.81873 - 0.9) / 4 = -0.16360. nu1 = 1 + exp(-1/5) = 1.8187 > 1.5 leaves its band, so that the
    # gains are retuned and the integral is scaled accordingly.
    rate, error = 1.0 + math.exp(-0.2), (0.3 * math.exp(-0.2) - 0.9) / 4.0
    assert controller.tuned_rate == pytest.approx(rate)
    integral = rate + rate * math.sqrt(0.5) * error
    assert controller.integral == pytest.approx(integral)
    assert controller.allowed_rate == pytest.approx(rate * math.sqrt(0.5) * error + integral)


def test_integral_covers_all_time_between_answers() -> None:
    """`window` updates the rates for each request, which must not shorten the time of the integral.

    (Seen in incident i45f18d.)
    """
    without_window, with_window = DelayController(), DelayController()
    for controller in (without_window, with_window):
        now = 1000.0
        for _ in range(30):
            now += 200.0
            if controller is with_window:
                controller.window(1.0, now - 10.0)
            controller.record_answer(700.0, 1000.0, now, True)
    assert with_window.integral == pytest.approx(without_window.integral, rel=0.01)
    assert 0.0 < without_window.shed_share(now) < 1.0


def test_shed_share_decays_without_new_samples() -> None:
    """Replicas shed 80% because of samples ten seconds old, and so got no answers to show a recovery.

    (Seen in incident i45f18d.)
    """
    controller = DelayController()
    now = record_steady_delay(controller, 2000.0, 50)
    shed_share = controller.shed_share(now)
    assert shed_share > 0.5
    assert controller.shed_share(now + 20_000.0) <= 0.2 * shed_share
    controller.record_answer(100.0, 1000.0, now + 20_000.0, True)
    assert controller.shed_share(now + 20_000.0) < 0.5 * shed_share


def test_gains_are_not_retuned_within_the_band() -> None:
    controller = DelayController()
    now = record_steady_delay(controller, 100.0, 300)
    tuned = controller.tuned_rate
    for _ in range(20):  # ten per cent faster
        now += 90.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.tuned_rate == tuned


def test_integral_recovers_from_a_long_overload() -> None:
    """Anti-windup: retries are allowed within seconds, however long the delay was above the target."""
    controller = DelayController()
    now = record_steady_delay(controller, 3000.0, 3000)
    assert controller.retry_probability(now) == 0.0
    for _ in range(50):
        now += 100.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.retry_probability(now) == 1.0


def mean_shed_share(delay_ms: float, rate_per_s: float, pareto_shape: float = 1.8) -> float:
    """Return the mean shed share of replicas with Pareto-distributed delays; each has its own seed."""
    total = 0.0
    for seed in range(20):
        rng, controller, now = random.Random(seed), DelayController(), 0.0
        for _ in range(300):
            now += rng.expovariate(rate_per_s / 1000.0)
            scale = delay_ms * (pareto_shape - 1.0) / pareto_shape
            controller.record_answer(scale * rng.paretovariate(pareto_shape), 1000.0, now, True)
            total += controller.shed_share(now)
    return total / 20 / 300


def test_random_error_of_few_samples_causes_no_shedding() -> None:
    """Replicas with seven answers per second shed a fifth for 15 s although the delay was on target."""
    assert mean_shed_share(0.95 * TARGET_SHARE * 1000.0, 7.0) < 0.01
    assert mean_shed_share(1.5 * TARGET_SHARE * 1000.0, 7.0) > 0.2  # clearly above the target


def test_window_keeps_its_initial_size_until_there_are_answers() -> None:
    """A window computed before the first answers rejected requests under low load."""
    controller = DelayController()
    for k in range(20):
        assert controller.window(4.0, 100.0 * k) == INITIAL_CALLS_PER_SERVER * 4.0
    now = 2000.0
    for _ in range(30):
        now += 50.0
        controller.record_answer(600.0, 4000.0, now, True)
    added = ADDED_CALLS_PER_SERVER * 4.0
    assert controller.window(4.0, now) - added > 0.9 * 20 * TARGET_SHARE * 4.0  # nu1 = 20/s, target 4 s


def test_window_admits_calls_whose_delay_meets_the_target() -> None:
    """A window for three quarters of the target rejected calls although the controller's error was zero.

    (Seen in case2553.)
    """
    controller, delay_ms = DelayController(), 0.99 * TARGET_SHARE * 1000.0
    now = record_steady_delay(controller, delay_ms, 300, gap_ms=10.0)
    assert controller.shed_share(now) == 0.0
    assert controller.window(0.0, now) >= 0.95 * 100.0 * delay_ms / 1000.0  # nu1 = 100/s


def test_window_has_room_for_bursts_while_the_delay_is_below_the_target() -> None:
    """Windows of 8 calls were full at times with 6.5 calls in flight on average and the delay on target."""
    for rate_per_s in (10.0, 1000.0):
        fast, slow = DelayController(), DelayController()
        mean_in_flight = rate_per_s * 0.35
        now = record_steady_delay(fast, 350.0, 3000, 1000.0 / rate_per_s)
        assert fast.window(0.0, now) > 1.1 * mean_in_flight + math.sqrt(mean_in_flight)
        assert fast.window(0.0, now) < 1.2 * mean_in_flight + 2.0 * math.sqrt(mean_in_flight)
        record_steady_delay(slow, 800.0, 3000, 1000.0 / rate_per_s)
        assert slow.window(0.0, now) == pytest.approx(rate_per_s * TARGET_SHARE, rel=0.02)


def test_window_does_not_collapse_if_the_usual_delay_is_above_the_target() -> None:
    """Each window lowered the answer rate, and that the next window, although the servers were idle.

    (Seen in incident i35d8eb.)
    """
    controller, now, delay_s = DelayController(), 0.0, 0.5  # with a latency target of 1 s
    in_flight = 20.0
    for _ in range(600):
        rate_per_s = in_flight / delay_s
        now += 1000.0 / rate_per_s
        controller.record_answer(1000.0 * delay_s, 1000.0, now, True)
        in_flight = controller.window(4.0, now)
    assert in_flight > 2.0 * 4.0
