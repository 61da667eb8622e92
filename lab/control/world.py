"""The control plane under a schedule of overlapping troubles: played by seed, checked after each step.

A broken rule raises `Broken`; so does a lack of progress once everything works again.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from dunlinloft.coordination.actions import Reply
from lab.control.cluster import Cluster
from lab.control.operators import Operator
from lab.control.rules import Broken
from lab.control.troubles import Trouble, Troubles, drawn

LENGTH_MS = 14_000.0
MOST_TROUBLES = 6
LAST_MS = 7_000.0  # the last troubles may last so long
RECOVERY_MS = 12_000.0  # `recovery_timeout_s`
CALM_MS = 4_000.0  # in which orders are acknowledged, and everybody reads what was
CALL_MS = 1_500.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """How many machines there are."""

    seeds: int
    further: int  # that count, beside the seeds
    diskless: int
    tolerance: int


DEPLOYMENTS = (
    Deployment(3, 0, 3, 1),
    Deployment(3, 0, 0, 1),
    Deployment(3, 1, 0, 1),
    Deployment(3, 2, 0, 1),
    Deployment(3, 2, 0, 2),
    Deployment(3, 5, 2, 2),
    Deployment(3, 6, 0, 2),
)


@dataclass(frozen=True, slots=True)
class Played:
    """What became of one seed."""

    seed: int
    broken: str  # empty where nothing was
    schedule: tuple[Trouble, ...]
    acknowledged: int


def deployment_of(seed: int) -> Deployment:
    """The deployment that a seed plays on."""
    return DEPLOYMENTS[seed % len(DEPLOYMENTS)]


def play(seed: int, schedule: Sequence[Trouble] | None = None) -> int:
    """Play a seed, with its own schedule or a given one; orders acknowledged. Raises `Broken`."""
    deployment = deployment_of(seed)
    cluster = Cluster(
        seed,
        deployment.seeds,
        deployment.tolerance,
        0.01 if seed % 3 == 0 else 0.0,
        deployment.further,
        deployment.diskless,
    )
    rng = random.Random(seed)
    operators = [Operator(cluster) for _ in range(rng.randint(1, 3))]
    for operator in operators:
        cluster.after(300.0 + 200.0 * rng.random(), operator.change)
        operator.read()
    troubles = Troubles(cluster, deployment.tolerance)
    for trouble in drawn(seed, LENGTH_MS, MOST_TROUBLES) if schedule is None else schedule:
        cluster.after(trouble.at_ms, lambda trouble=trouble: troubles.begin(trouble))  # type: ignore[misc]
    cluster.run(LENGTH_MS + LAST_MS)
    troubles.end_all()
    cluster.run(RECOVERY_MS)
    _check_progress(cluster, operators)
    return sum(operator.acked for operator in operators)


def _check_progress(cluster: Cluster, operators: Sequence[Operator]) -> None:
    before = sum(operator.acked for operator in operators)
    cluster.run(CALM_MS)
    if sum(operator.acked for operator in operators) == before:
        raise Broken("no order is acknowledged although nothing fails any more")
    answers: dict[str, int] = {}
    newest = cluster.rules.newest_acked

    def take(address: str, reply: Reply | None) -> None:
        if reply is not None and reply.status == 200:
            answers[address] = reply.version

    up = [machine.address for machine in cluster.machines.values() if not machine.gone]
    for address in up:
        cluster.call(address, None, lambda reply, address=address: take(address, reply))  # type: ignore[misc]
    cluster.run(CALL_MS)
    silent = [address for address in up if address not in answers]
    if silent:
        raise Broken(f"{silent} answer no read although nothing fails any more")
    if min(answers.values()) < newest:
        raise Broken(f"{answers} were read, {newest} had been acknowledged")


def played(seed: int) -> Played:
    """Play a seed; a broken one with the shortest schedule found."""
    schedule = drawn(seed, LENGTH_MS, MOST_TROUBLES)
    try:
        return Played(seed, "", schedule, play(seed, schedule))
    except Broken as broken:
        return Played(seed, str(broken), _shortened(seed, schedule), 0)


def _shortened(seed: int, schedule: tuple[Trouble, ...]) -> tuple[Trouble, ...]:
    """The schedule without troubles that the break doesn't need."""
    for place in range(len(schedule) - 1, -1, -1):
        shorter = schedule[:place] + schedule[place + 1 :]
        try:
            play(seed, shorter)
        except Broken:
            schedule = shorter
    return schedule


def play_all(seeds: Sequence[int], jobs: int) -> list[Played]:
    """Play many seeds over several processes; the broken ones first."""
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(played, seeds, chunksize=4))
    return sorted(results, key=lambda result: (not result.broken, result.seed))
