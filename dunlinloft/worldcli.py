"""What `dunlinloft world` prints: how many seeds were played, the shortest schedule of a broken one."""

from __future__ import annotations

import time
from collections.abc import Sequence

from rich.console import Console

from lab.control.world import deployment_of, play_all

SUCCESS, BROKEN = 0, 1
out = Console(highlight=False, soft_wrap=True)


def play(seeds: Sequence[int], jobs: int) -> int:
    """Play seeds over several processes; the exit status."""
    began_s = time.monotonic()
    results = play_all(seeds, jobs)
    broken = [result for result in results if result.broken]
    for result in broken:
        out.print(f"seed {result.seed}, {deployment_of(result.seed)}: {result.broken}")
        for trouble in result.schedule:
            out.print(f"    {trouble}")
    acknowledged = sum(result.acknowledged for result in results)
    took_s = time.monotonic() - began_s
    out.print(
        f"{len(broken)} of {len(results)} seeds broken; {acknowledged} orders acknowledged; {took_s:.0f} s"
    )
    return BROKEN if broken else SUCCESS
