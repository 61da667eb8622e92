"""Sizes that no machine holds as processes: the same cores in virtual time, their cost by the core's time.

Views are given whole at the start, as by an exchange: a join of thousands at once is minutes of work that
says nothing of the quiet state.
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

LIMIT_MS = 60_000.0  # for a crash to be known to all: what takes longer counts as this
APART_MS = 1_000.0  # between crashes


class TimedMembership(Membership):
    """The core, with a count of the processor's time that all of them together have used."""

    used_s = 0.0

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        began = time.process_time()
        actions = super().handle(event, now)
        TimedMembership.used_s += time.process_time() - began
        return actions


def introduce(fleet: Fleet) -> None:
    """Give each member the whole view, and have it know that it has joined."""
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
    """Play it; the same seed gives the same figures, but for the processor's time and memory."""
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
    each = 1.0 / (what.size * what.seconds)
    figures = {
        "messages_s": each * sum(fleet.datagrams.values()),
        "bytes_s": each * sum(fleet.bytes.values()),
        "stream_bytes_s": each * sum(fleet.stream_bytes.values()),
        "cpu_ms_s": 1000.0 * each * used_s,
        "memory_mb": memory_mb / what.size,
        "disagree": float(not agreed),
    } | _crashes(fleet, what.victims)
    figures["false_deaths"] = float(len(fleet.false_deaths))
    return talk.Simulated(figures, fleet.false_deaths)


def _crashes(fleet: Fleet, victims: int) -> dict[str, float]:
    """How long until a crash is known: to single members, and to all."""
    took: list[float] = []
    began: dict[str, float] = {}

    def watch(process: object, change: api.MemberChanged) -> None:
        if change.change is api.MemberChange.DEAD and change.name in began:
            took.append((fleet.now() - began[change.name]) / 1000.0)

    fleet.watch = watch
    whole: list[float] = []
    for name in fleet.rng.sample(fleet.names, victims):
        life, began[name] = fleet.processes[name].core.incarnation, fleet.now()
        fleet.kill(name)
        whole.append(fleet.run(LIMIT_MS, partial(fleet.knows_gone, name, life)) / 1000.0)
        fleet.run(APART_MS)
    if not took:
        return {}
    p50, p99 = (float(np.percentile(took, of, method="higher")) for of in (50.0, 99.0))
    return {"known_p50_s": p50, "known_p99_s": p99, "known_max_s": max(took), "unknown": float(
        sum(all_s >= LIMIT_MS / 1000.0 for all_s in whole)
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
