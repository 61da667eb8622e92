"""Checks before a scale run whether the machine has the resources for it, with a one-line reason if not.

The costs are measured with this program (runs in `docs/lab.md`) and rounded up.
"""

from __future__ import annotations

import socket

from dunlinloft.node.fleet.peers import MAX_INBOUND_STREAMS, MAX_OUTBOUND_STREAMS
from dunlinloft.node.fleet_config import MIN_CELL_SIZE
from lab.scale.plan import CELL_JOIN_INTERVAL_S, Machine, Plan

LOCK = ("127.15.0.1", 7398)  # listening here claims the machine's only scale run
MAX_PROCESSES = 300
MEMORY_SHARE, CPU_SHARE = 0.5, 0.7  # of the machine
MIN_SIZES = 4  # different sizes needed for a slope
LAB_MB, HOST_MB, NODE_MB = 150.0, 32.0, 40.0  # this process, a hollow process, a node
MEMBER_MB, ENTRY_KB = 0.1, 2.0  # a hollow member, and an entry in its view
MEMBER_MS, ENTRY_US = 2.0, 2.0  # core time per second: a member, and an entry in its view
NODE_MS, REQUEST_MS = 10.0, 1.0  # core time: a node per second, and a request
VIRTUAL_ENTRY_KB = 3.0
VIRTUAL_ENTRY_US, VIRTUAL_MEMBER_MS = 30.0, 0.6  # core time: an entry at the start; a member per second
START_S, JOIN_S, KNOWN_S = 2.0, 10.0, 4.0  # approximate durations of a start, a join and a crash detection
OWN_FILES = 64  # descriptors of a process besides its members'
MEMBER_FILES = 2 + MAX_INBOUND_STREAMS + MAX_OUTBOUND_STREAMS


class Refused(Exception):
    """The run exceeds the limits of this machine; the message is one line."""


def check(plan: Plan, machine: Machine) -> None:
    """Raise `Refused` for the first limit that the plan exceeds."""
    for what, sizes in (("sizes", plan.sizes), ("virtual sizes", plan.virtual_sizes)):
        if sizes and len(set(sizes)) < MIN_SIZES:
            raise Refused(f"{len(set(sizes))} {what}: a slope needs {MIN_SIZES} different ones or more")
    if not plan.sizes and not plan.virtual_sizes:
        raise Refused("no sizes: nothing to play")
    for size in sorted(plan.sizes):
        _check_size(plan, size, machine)
    for size in sorted(plan.virtual_sizes):
        if size <= plan.victims + 2:
            raise Refused(f"virtual size {size}: needs more than {plan.victims} victims and two that go on")
        _check_memory(f"virtual size {size}", virtual_mb(size), machine)
    minutes = duration_s(plan) / 60.0
    if minutes > plan.minutes:
        raise Refused(
            f"it would take about {minutes:.0f} minutes, and {plan.minutes:g} are allowed: "
            "fewer sizes, seeds or seconds, or more minutes"
        )


def _check_size(plan: Plan, size: int, machine: Machine) -> None:
    if plan.hollow(size) < 3:
        raise Refused(f"size {size}: needs three hollow members or more beside {plan.nodes} nodes")
    if 0 < plan.cells < MIN_CELL_SIZE:
        raise Refused(
            f"cells of {plan.cells}: a cell takes {MIN_CELL_SIZE} members or more; 0 is one flat fleet"
        )
    processes = len(plan.hosts(size)) + plan.nodes + (plan.directory if plan.cells else 0)
    if processes > MAX_PROCESSES:
        least = -(-plan.hollow(size) // (MAX_PROCESSES - plan.nodes))
        raise Refused(
            f"size {size}: needs {processes} processes, and {MAX_PROCESSES} are allowed: {least} members a "
            "process or more"
        )
    files = max(plan.hosts(size)) * MEMBER_FILES + OWN_FILES
    if files > machine.descriptors:
        most = (machine.descriptors - OWN_FILES) // MEMBER_FILES
        raise Refused(
            f"size {size}: a process may need {files} descriptors, and has {machine.descriptors}: "
            f"{most} members a process at most"
        )
    _check_memory(f"size {size}", sockets_mb(plan, size), machine)
    need, have = cores(plan, size), CPU_SHARE * machine.cores
    if need > have:
        raise Refused(
            f"size {size}: needs about {need:.1f} cores, and {have:.1f} of {machine.cores} are allowed"
        )


def _check_memory(what: str, need_mb: float, machine: Machine) -> None:
    have_mb = MEMORY_SHARE * machine.memory_mb
    if need_mb > have_mb:
        raise Refused(
            f"{what}: needs about {need_mb:.0f} MB, and {have_mb:.0f} MB, half of the machine's, are allowed"
        )


def sockets_mb(plan: Plan, size: int) -> float:
    """Estimate the memory needed for a size."""
    members = plan.hollow(size) * (MEMBER_MB + plan.seen(size) * ENTRY_KB / 1024.0)
    processes = plan.nodes + (plan.directory if plan.cells else 0)
    return LAB_MB + len(plan.hosts(size)) * HOST_MB + processes * NODE_MB + members


def virtual_mb(size: int) -> float:
    """Estimate the memory needed for a size in virtual time."""
    return LAB_MB + size * (MEMBER_MB + size * VIRTUAL_ENTRY_KB / 1024.0)


def cores(plan: Plan, size: int) -> float:
    """Estimate the cores used by a size in its steady state."""
    member_s = (MEMBER_MS + plan.seen(size) * ENTRY_US / 1000.0) / 1000.0
    return plan.hollow(size) * member_s + plan.nodes * (NODE_MS + plan.rate_per_s * REQUEST_MS) / 1000.0


def size_s(plan: Plan, size: int) -> float:
    """Estimate the duration of a size."""
    crashes = plan.chosen_victims(size) * KNOWN_S if size else 0.0
    joins = len(plan.hosts(size)) * CELL_JOIN_INTERVAL_S if size and plan.cells else 0.0
    return START_S + (JOIN_S if size else 0.0) + joins + plan.settle_s + plan.seconds + crashes


def virtual_s(plan: Plan, size: int) -> float:
    """Estimate the duration of a size in virtual time."""
    played_s = plan.virtual_settle_s + plan.virtual_seconds + plan.victims * KNOWN_S
    return size * (size * VIRTUAL_ENTRY_US / 1e6 + played_s * VIRTUAL_MEMBER_MS / 1000.0) + 2.0


def duration_s(plan: Plan) -> float:
    """Estimate the duration of the whole run."""
    real = sum(size_s(plan, size) for size in (0, *plan.sizes)) if plan.sizes else 0.0
    return len(plan.seeds) * (real + sum(virtual_s(plan, size) for size in plan.virtual_sizes))


def claim() -> socket.socket:
    """Claim the machine-wide lock of scale runs; the kernel releases it however the run ends."""
    lock = socket.socket()
    try:
        lock.bind(LOCK)
        lock.listen(1)
    except OSError:
        lock.close()
        raise Refused("another scale run is under way on this machine: one at a time") from None
    return lock
