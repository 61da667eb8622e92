"""`dunlinloft world`: simulated control-plane runs, and the shortest fault schedule of each violation."""

from __future__ import annotations

import resource
import time
from collections.abc import Sequence

from dunlinloft.cli.consoles import plain_stdout
from dunlinloft.cli.exit_codes import ExitCode
from lab.control import world as replicas
from lab.control.faults import Fault
from lab.simulation import world as processes
from lab.simulation.deployment import deployment_of

KIB_PER_MIB = 1024


def play_replicas(seeds: Sequence[int], jobs: int) -> ExitCode:
    """Simulate only the replicas' state machines; fails if a seed violates a rule."""
    started_s = time.monotonic()
    results = replicas.simulate_all(seeds, jobs)
    violations = [result for result in results if result.violation]
    for result in violations:
        _print_violation(result.seed, replicas.deployment_of(result.seed), result.violation, result.schedule)
    acknowledged = sum(result.acknowledged for result in results)
    elapsed_s = time.monotonic() - started_s
    plain_stdout.print(
        f"{len(violations)} of {len(results)} seeds failed; {acknowledged} changes acknowledged;"
        f" {elapsed_s:.0f} s"
    )
    return ExitCode.CHECK_FAILED if violations else ExitCode.SUCCESS


def play_processes(seeds: Sequence[int], jobs: int) -> ExitCode:
    """Simulate whole processes; prints each violation when it is found, and fails if there is one."""
    started_s = time.monotonic()
    failed_count = 0
    acknowledged = 0
    served = 0
    slowest_recovery_ms = 0.0
    for result in processes.simulate_all(seeds, jobs):
        if result.summary is None:
            failed_count += 1
            _print_violation(result.seed, deployment_of(result.seed), result.violation, result.schedule)
            continue
        acknowledged += result.summary.acknowledged
        served += result.summary.served
        slowest_recovery_ms = max(slowest_recovery_ms, result.summary.recovery_ms)
    elapsed_s = time.monotonic() - started_s
    peak_mib = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / KIB_PER_MIB
    plain_stdout.print(
        f"{failed_count} of {len(seeds)} seeds failed; {acknowledged} changes acknowledged,"
        f" {served} requests served; slowest recovery {slowest_recovery_ms:.0f} ms;"
        f" {elapsed_s:.0f} s, at most {peak_mib:.0f} MiB per job"
    )
    return ExitCode.CHECK_FAILED if failed_count else ExitCode.SUCCESS


def _print_violation(seed: int, deployment: object, violation: str, schedule: Sequence[Fault]) -> None:
    plain_stdout.print(f"seed {seed}, {deployment}: {violation}")
    for fault in schedule:
        plain_stdout.print(f"    {fault}")
