"""The limits on retries: the fleet's budget and the delay controller."""

from __future__ import annotations

import random

import pytest

from dunlinloft.balancer.delay_controller import DelayController
from dunlinloft.dataplane.retry_budget import RetryBudget, retry_granted


@pytest.mark.parametrize("seed", range(5))
def test_retries_of_all_nodes_stay_within_the_budget(seed: int) -> None:
    rng = random.Random(seed)
    nodes = [RetryBudget(0.2, 10.0, 60.0) for _ in range(10)]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    while now < 40_000.0:
        now += rng.expovariate(1.0 / 10.0)
        node = nodes[min(9, int(rng.expovariate(0.4)))]
        node.on_request(now)
        requests.append(now)
        if now > 15_000.0 and node.acquire_retry(10, now):
            retries.append(now)
    assert retries
    for start in range(0, 30_000, 250):
        window = (float(start), start + 10_000.0)
        within = [sum(window[0] <= t < window[1] for t in times) for times in (requests, retries)]
        assert within[1] <= 0.2 * within[0] + 60.0


def test_retries_are_denied_while_the_delay_exceeds_its_target() -> None:
    controller = DelayController()
    now = 0.0
    for _ in range(200):
        now += 20.0
        controller.record_answer(20.0, 200.0, now, True)
    assert all(retry_granted(controller, sample / 10.0, now) for sample in range(10))
    for _ in range(600):
        now += 20.0
        controller.record_answer(900.0, 200.0, now, True)
    assert sum(retry_granted(controller, sample / 10.0, now) for sample in range(10)) <= 1
