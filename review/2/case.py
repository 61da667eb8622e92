"""A server leaves while one control plane is down; its restart brings the server back to all nodes."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from fleet import (
    CONTACT_WINDOW_S,
    DRAIN_TIMEOUT_S,
    INTERNAL_PORTS,
    ROOT,
    CannotRun,
    Fleet,
    Record,
    run_case,
    send_order,
)
from servers import Clients, Server, configuration

sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

DOWN_S = 3.8  # of the killed machine; the sheet of the small site plays up to 3.9 s
DEREGISTERED_AFTER_S = 3.2  # after the kill: the core is stable again, with two of its three machines
SERVES_ON_S = 4.4  # after the acknowledgement: the drain time-out, and "at times many seconds" longer
MARGIN_S = 0.1  # for the clocks of this script


def service_placed_by(fleet: Fleet, number: int) -> str:
    """A service name whose requests one machine's control plane places; a third of all names are such.

    The pages leave the names to each day. Only this choice looks into the project.
    """
    from dunlinloft.coordination.placement.directory import placement_owner_address

    members = [f"{machine.ip}:{INTERNAL_PORTS[0]}" for machine in fleet.machines]
    names = (f"wuno{suffix}b" for suffix in range(1000))
    return next(name for name in names if placement_owner_address(name, members) == members[number])


async def main(record: Record, fleet: Fleet, trouble: bool) -> list[str]:
    """Play the case; returns the broken rules."""
    service = service_placed_by(fleet, 2)
    servers = [Server(fleet, 11 + number, service, 0.3) for number in range(3)]
    for server in servers:
        await server.start()
    if await send_order(fleet, "replace", 0, json.dumps(configuration(1, service)).encode()) != 200:
        raise CannotRun("the first configuration is not taken")
    await fleet.until_ready()
    clients = Clients(fleet, "lock.example", "/lock/status")
    calm_machines, killed = fleet.machines[:2], fleet.machines[2]
    began = record.now()
    end = began + 16.0
    traffic = asyncio.create_task(clients.send(calm_machines, 40.0, end))
    await asyncio.sleep(4.0)  # calm for longer than the contact window

    # The disruption: one core machine is killed and comes back with its disk.
    core_events = []
    killed_at = record.now()
    if trouble:
        fleet.kill(killed)
        core_events.append(killed_at)
    await asyncio.sleep(DEREGISTERED_AFTER_S)

    # The planned work: a server says that it leaves, serves on, and ends.
    leaving = servers[0]
    if not await leaving.deregister() or leaving.gone_acknowledged is None:
        raise CannotRun("the server's leave is not acknowledged")
    acknowledged = leaving.gone_acknowledged
    await asyncio.sleep(max(0.0, killed_at + DOWN_S - record.now()))
    if trouble:
        fleet.start(killed)
        core_events.append(record.now())
    await asyncio.sleep(max(0.0, acknowledged + SERVES_ON_S - record.now()))
    leaving.end()
    ended = record.now()
    await traffic
    for server in servers[1:]:
        server.end()

    # DRAIN: what reached the server too late, while the machines that sent it were in touch.
    late = [
        run
        for run in leaving.runs
        if run.reached > acknowledged + DRAIN_TIMEOUT_S + MARGIN_S
        and not any(at <= run.reached < at + CONTACT_WINDOW_S + MARGIN_S for at in core_events)
    ]
    served = sum(one.status == 200 for one in clients.tries)
    outcome = {one.attempt: one.status or one.error for one in clients.tries}
    cut = [run for run in late if not run.finished]
    record(f"tries {len(clients.tries)}, served {served}, runs at the leaving server {len(leaving.runs)}")
    record(f"acknowledged as gone at {acknowledged:.3f}, ended at {ended:.3f}; core events at {core_events}")
    for run in late:
        record(
            f"late: {run.attempt} reached {run.server} at {run.reached:.3f}; client {outcome[run.attempt]}"
        )
    if served < 0.5 * len(clients.tries):
        raise CannotRun("too little was served")
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached the server later than {DRAIN_TIMEOUT_S} s after its leave was "
        f"acknowledged, the last {late[-1].reached - acknowledged:.2f} s after it; {len(cut)} of them were "
        f"cut when it ended: {[outcome[run.attempt] for run in cut]}"
    ]


if __name__ == "__main__":
    run_case(main, Path(__file__).with_name("record.txt"))
