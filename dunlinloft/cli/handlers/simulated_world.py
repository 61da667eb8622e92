"""`dunlinloft world`: seeds of the simulated control plane, and the shortest schedule of each violation."""

from __future__ import annotations

import time
from collections.abc import Sequence

from dunlinloft.cli.consoles import plain_stdout
from dunlinloft.cli.exit_codes import ExitCode
from lab.control.world import deployment_of, play_all


def play(seeds: Sequence[int], jobs: int) -> ExitCode:
    """Play seeds in several processes; fails where one violates a rule."""
    started_s = time.monotonic()
    results = play_all(seeds, jobs)
    violations = [result for result in results if result.violation]
    for result in violations:
        plain_stdout.print(f"seed {result.seed}, {deployment_of(result.seed)}: {result.violation}")
        for fault in result.schedule:
            plain_stdout.print(f"    {fault}")
    acknowledged = sum(result.acknowledged for result in results)
    elapsed_s = time.monotonic() - started_s
    plain_stdout.print(
        f"{len(violations)} of {len(results)} seeds broken; {acknowledged} orders acknowledged;"
        f" {elapsed_s:.0f} s"
    )
    return ExitCode.CHECK_FAILED if violations else ExitCode.SUCCESS
