"""Simulates replicas under a schedule of overlapping faults, by seed; invariants are checked on each event.

An invariant violation raises `InvariantViolation`, as does a lack of progress after all faults have ended.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from dunlinloft.coordination.actions import Reply
from lab.control.cluster import Cluster
from lab.control.faults import Fault, FaultInjector, ScheduleBounds, draw_schedule
from lab.control.invariants import InvariantViolation
from lab.control.operators import Operator

LENGTH_MS = 14_000.0  # the time in which faults begin
SCHEDULE_BOUNDS = ScheduleBounds(2_500.0, LENGTH_MS, 6_000.0, 6)
FAULT_END_MS = 7_000.0  # until the last faults have ended
RECOVERY_MS = 12_000.0  # `recovery_timeout_s`
PROGRESS_MS = 4_000.0  # time limit for a change to be acknowledged
CALL_MS = 1_500.0  # time limit for replies to all reads


@dataclass(frozen=True, slots=True)
class Deployment:
    """Number of machines of each kind, and of disks that may be lost."""

    seeds: int
    additional: int  # stateful machines besides the seeds
    diskless: int
    tolerance: int

    def __str__(self) -> str:
        """Return the text that `dunlinloft world` prints, with the former name of a field."""
        return (
            f"Deployment(seeds={self.seeds}, further={self.additional}, diskless={self.diskless},"
            f" tolerance={self.tolerance})"
        )


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
class SeedResult:
    """The result of one seed; on a violation with the shortest schedule found."""

    seed: int
    violation: str  # empty if there is none
    schedule: tuple[Fault, ...]
    acknowledged: int  # changes


def deployment_of(seed: int) -> Deployment:
    """Return the deployment that a random seed is simulated on."""
    return DEPLOYMENTS[seed % len(DEPLOYMENTS)]


def simulate(seed: int, schedule: Sequence[Fault] | None = None) -> int:
    """Run a seed with its own or a given schedule; return the number of acknowledged changes.

    Raises `InvariantViolation`.
    """
    deployment = deployment_of(seed)
    cluster = Cluster(
        seed,
        deployment.seeds,
        deployment.tolerance,
        0.01 if seed % 3 == 0 else 0.0,
        deployment.additional,
        deployment.diskless,
    )
    rng = random.Random(seed)
    operators = [Operator(cluster) for _ in range(rng.randint(1, 3))]
    for operator in operators:
        cluster.after(300.0 + 200.0 * rng.random(), operator.change)
        operator.read()
    injector = FaultInjector(cluster, deployment.tolerance)
    for fault in draw_schedule(seed, SCHEDULE_BOUNDS) if schedule is None else schedule:
        cluster.after(fault.at_ms, lambda fault=fault: injector.begin(fault))  # type: ignore[misc]
    cluster.run(LENGTH_MS + FAULT_END_MS)
    injector.end_all()
    cluster.run(RECOVERY_MS)
    _check_progress(cluster, operators)
    return sum(operator.acked for operator in operators)


def _check_progress(cluster: Cluster, operators: Sequence[Operator]) -> None:
    before = sum(operator.acked for operator in operators)
    cluster.run(PROGRESS_MS)
    if sum(operator.acked for operator in operators) == before:
        raise InvariantViolation("no change is acknowledged although nothing fails any more")
    answers: dict[str, int] = {}
    newest = cluster.checker.newest_acked

    def on_reply(address: str, reply: Reply | None) -> None:
        """Record the version that a machine returned."""
        if reply is not None and reply.status == 200:
            answers[address] = reply.version

    up = [machine.address for machine in cluster.machines.values() if not machine.removed]
    for address in up:
        cluster.call(address, None, lambda reply, address=address: on_reply(address, reply))  # type: ignore[misc]
    cluster.run(CALL_MS)
    unanswered = [address for address in up if address not in answers]
    if unanswered:
        raise InvariantViolation(f"{unanswered} answer no read although nothing fails any more")
    if min(answers.values()) < newest:
        raise InvariantViolation(f"{answers} were read, {newest} had been acknowledged")


def run_seed(seed: int) -> SeedResult:
    """Run a seed and shrink the schedule of a violation; called in the workers of `simulate_all`."""
    schedule = draw_schedule(seed, SCHEDULE_BOUNDS)
    try:
        return SeedResult(seed, "", schedule, simulate(seed, schedule))
    except InvariantViolation as violation:
        return SeedResult(seed, str(violation), _shrink_schedule(seed, schedule), 0)


def _shrink_schedule(seed: int, schedule: tuple[Fault, ...]) -> tuple[Fault, ...]:
    """Return the schedule without the faults that are not needed for a violation."""
    for index in range(len(schedule) - 1, -1, -1):
        shorter = schedule[:index] + schedule[index + 1 :]
        try:
            simulate(seed, shorter)
        except InvariantViolation:
            schedule = shorter
    return schedule


def simulate_all(seeds: Sequence[int], jobs: int) -> list[SeedResult]:
    """Run many seeds in several processes; returns violations first."""
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(run_seed, seeds, chunksize=4))
    return sorted(results, key=lambda result: (not result.violation, result.seed))
