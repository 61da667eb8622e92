"""Fleet sizes too large for real processes: the same cores in virtual time, with their cost in CPU time.

Members start with complete views, as after a state exchange: simulating the join of thousands at once would
take minutes and is irrelevant to the steady state.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from functools import partial

import numpy as np
import uvloop

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import State
from lab.day import infrequent_gc
from lab.scale import talk
from lab.virtual.fleet import Fleet

CRASH_TIMEOUT_MS = (
    60_000.0  # longest wait for a crash to be known to all; what takes longer counts as this value
)
CRASH_INTERVAL_MS = 1_000.0  # between crashes


class TimedMembership(Membership):
    """The membership core, with the total CPU time used by all instances."""

    used_s = 0.0

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        began = time.process_time()
        actions = super().handle(event, now)
        TimedMembership.used_s += time.process_time() - began
        return actions


def introduce(fleet: Fleet) -> None:
    """Give each member a complete view and complete its join."""
    records = [process.core.own_record() for process in fleet.processes.values()]
    for process in fleet.processes.values():
        for record in records:
            if record.name != process.name:
                process.core.view.merge(record, fleet.now())
    first = next(iter(fleet.processes.values())).core
    for process in fleet.processes.values():
        fleet.give(
            process, api.PushPullReceived(State(first.header(), [first.own_record()]), first.address, True)
        )


def simulate(what: talk.Simulate) -> talk.Simulated:
    """Run the simulation; for a seed all figures but CPU time and memory are deterministic."""
    gc.collect()
    base_mb = talk.memory_mb()
    fleet = Fleet(what.size, what.seed, TimedMembership, at_once=True)
    fleet.run(0.0)
    introduce(fleet)
    fleet.run(1000.0 * what.settle_s)
    agreed = fleet.agreed()
    for counter in (fleet.bytes, fleet.datagrams, fleet.stream_bytes):
        counter.clear()
    TimedMembership.used_s = 0.0
    fleet.run(1000.0 * what.seconds)
    used_s, memory_mb = TimedMembership.used_s, talk.memory_mb() - base_mb
    per_member_second = 1.0 / (what.size * what.seconds)
    figures = {
        "messages_s": per_member_second * sum(fleet.datagrams.values()),
        "bytes_s": per_member_second * sum(fleet.bytes.values()),
        "stream_bytes_s": per_member_second * sum(fleet.stream_bytes.values()),
        "cpu_ms_s": 1000.0 * per_member_second * used_s,
        "memory_mb": memory_mb / what.size,
        "disagree": float(not agreed),
    } | _crashes(fleet, what.victims)
    figures["false_deaths"] = float(len(fleet.false_deaths))
    return talk.Simulated(figures, fleet.false_deaths)


def _crashes(fleet: Fleet, victims: int) -> dict[str, float]:
    """Measure the time until a crash is known to each member and to all."""
    detection_s: list[float] = []
    crashed_ms: dict[str, float] = {}

    def watch(process: object, change: api.MemberChanged) -> None:
        if change.change is api.MemberChange.DEAD and change.name in crashed_ms:
            detection_s.append((fleet.now() - crashed_ms[change.name]) / 1000.0)

    fleet.watch = watch
    known_to_all_s: list[float] = []
    for name in fleet.rng.sample(fleet.names, victims):
        life, crashed_ms[name] = fleet.processes[name].core.incarnation, fleet.now()
        fleet.kill(name)
        known_to_all_s.append(fleet.run(CRASH_TIMEOUT_MS, partial(fleet.knows_gone, name, life)) / 1000.0)
        fleet.run(CRASH_INTERVAL_MS)
    if not detection_s:
        return {}
    p50, p99 = (float(np.percentile(detection_s, of, method="higher")) for of in (50.0, 99.0))
    return {"known_p50_s": p50, "known_p99_s": p99, "known_max_s": max(detection_s), "unknown": float(
        sum(all_s >= CRASH_TIMEOUT_MS / 1000.0 for all_s in known_to_all_s)
    )}  # fmt: skip


async def _answer(command: talk.Command) -> talk.Answer:
    assert isinstance(command, talk.Simulate)
    with infrequent_gc():
        return simulate(command)


async def _main(descriptor: int) -> None:
    await asyncio.sleep(0)
    await talk.answer_all(descriptor, _answer)


if __name__ == "__main__":
    uvloop.run(_main(int(sys.argv[1])))
