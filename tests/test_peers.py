"""Membership over sockets: joining, takeover by another process, foreign traffic and singleton roles."""

from __future__ import annotations

import asyncio
import json
import random
import re
import socket
import subprocess
import sys
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.fleet import interface as api
from dunlinloft.fleet import wire
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.messages import Header, Ping, Record, State
from dunlinloft.node.config import Config, ConfigFileError, read_config
from dunlinloft.node.fleet.peers import MAX_INBOUND_STREAMS, MemberIdentity, Peers
from dunlinloft.node.fleet_config import FleetConfig
from lab.processes.block import Block, text
from lab.processes.day import play_processes
from lab.scenario import parse
from tests.peers import run, settings, wait_until
from tests.shared_days import SHARED_DAY
from tests.test_wire import ROOT


def config(tmp_path: Path, name: str = "n1", number: int = 0, nodes: int = 3, **more: Any) -> Config:
    obj = {
        "name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "ab",
        "known": {"index": 1, "snapshot": True, "endpoints": []},
        "settings": settings(my_number=number, siblings=nodes),
    } | more  # fmt: skip
    file = tmp_path / f"{name}.json"
    file.write_text(json.dumps(obj))
    return read_config(str(file))


class LocalFleet:
    """Members of a fleet in this process, at addresses of a block on loopback."""

    def __init__(
        self, tmp_path: Path, names: list[str], file_nodes: int = 3, voters: list[str] | None = None
    ) -> None:
        self.block, self._path, self._nodes, self._voters = Block(), tmp_path, file_nodes, voters or []
        self.positions: dict[str, list[tuple[int, int]]] = {name: [] for name in names}
        self.members = {name: self.make(name, n) for n, name in enumerate(names)}
        for member in self.members.values():
            member.start()

    def make(self, name: str, n: int) -> Peers:
        at = text(self.block.peer(n))
        fleet = FleetConfig(
            "linz", at, at, [text(self.block.peer(0)), text(self.block.peer(1))], self._voters
        )
        made = config(self._path, name, n, self._nodes)
        positions_of_member = self.positions[name]
        return Peers(
            asyncio.get_running_loop(),
            MemberIdentity.from_config(made),
            fleet,
            lambda *place: positions_of_member.append(place),
            lambda: 3,
        )

    def has_converged(self, count: int) -> bool:
        cores = [member.core for member in self.members.values()]
        return len({core.digest() for core in cores}) == 1 and all(
            core.alive_count() == count for core in cores
        )

    def close(self) -> None:
        for member in self.members.values():
            member.leave_fleet(handing_over=True)
        self.block.release()


def test_members_converge_after_a_join_a_leave_and_a_takeover(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LocalFleet(tmp_path, ["n1", "n2", "n3"])
        try:
            await wait_until(lambda: fleet.has_converged(3))
            leaving = fleet.members.pop("n3")
            leaving.leave_fleet(handing_over=False)
            await wait_until(lambda: fleet.has_converged(2))
            assert fleet.members["n1"].core.view.members["n3"].status == 3
            old = fleet.members["n2"]
            new = fleet.members["n2"] = fleet.make("n2", 1)
            new.start()  # waits until it can bind the address
            await asyncio.sleep(0)
            old.leave_fleet(handing_over=True)
            await wait_until(lambda: fleet.has_converged(2) and new.core.alive_count() == 2)
            seen = fleet.members["n1"].core.view.members["n2"]
            assert seen.incarnation == new.core.incarnation
            assert fleet.members["n1"].core.name_conflicts == new.core.name_conflicts == 0
        finally:
            fleet.close()

    run(test())


def test_foreign_traffic_is_counted_and_its_streams_are_closed(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LocalFleet(tmp_path, ["n1"])
        member, at = fleet.members["n1"], fleet.block.peer(0)
        try:
            await wait_until(lambda: member._udp is not None)
            rng = random.Random(1)
            foreign = wire.Wire("graz").write(Ping(Header("x", 1, 0, 0), 1, "n1", []))
            datagrams = [
                b"",
                b"x",
                foreign,
                bytes(2000),
                *(rng.randbytes(rng.randrange(1, 1400)) for _ in range(40)),
            ]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign_socket:
                for data in datagrams:
                    foreign_socket.sendto(data, at)
            await wait_until(
                lambda: member.counts["refused"] >= len(datagrams) - 1
            )  # an empty datagram may not be delivered
            writers = []
            for data in (
                b"",
                b"X" + bytes(4),
                b"S\xff\xff\xff\xff",
                b"P" + (9).to_bytes(4, "big") + bytes(9),
            ):
                reader, writer = await asyncio.open_connection(*at)
                writer.write(data)
                writers.append((reader, writer))
            excess_streams = [await asyncio.open_connection(*at) for _ in range(MAX_INBOUND_STREAMS + 4)]
            for reader, writer in (*writers, *excess_streams):
                assert await asyncio.wait_for(reader.read(), 30.0) == b""
                writer.close()
            assert member.counts["errors"] == 0
            assert member.core.alive_count() == 1
            assert {"foreign", "version", "long", "crowd"} <= set(member.rejection_counts)
        finally:
            fleet.close()

    run(test())


def test_fleet_object_is_rejected_if_the_settings_allow_no_peers(tmp_path: Path) -> None:
    fleet = {"name": "linz", "bind": "127.0.1.3:7400", "seeds": ["127.0.2.1:7400"]}
    assert config(tmp_path, fleet=fleet).fleet is not None
    for allowed, bad in ((False, fleet), (True, fleet | {"bind": "nowhere"}), (True, fleet | {"seeds": [5]})):
        with pytest.raises(ConfigFileError) as caught:
            config(tmp_path, fleet=bad, settings=settings(permissions={"peers": allowed}))
        assert "\n" not in str(caught.value)


def test_standalone_node_loads_no_fleet_modules() -> None:
    """It loads only modules of the node and of the balancer."""
    code = (
        "import sys, dunlinloft.node.__main__; "
        "own = ('dunlinloft.node', 'dunlinloft.balancer'); "
        "fleet = ('dunlinloft.node.fleet', 'dunlinloft.fleet'); "
        "others = {'fleet', 'msgspec', 'click', 'rich', 'numpy', 'lab'}; "
        "below = lambda name, packages: any((name + '.').startswith(package + '.') for package in packages); "
        "print(sorted(name for name in sys.modules if name.split('.')[0] in others or below(name, fleet) "
        "or (name.startswith('dunlinloft.') and not below(name, own))))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert found.stdout.strip() == "[]"


def test_processes_converge_after_a_kill_and_a_partition(tmp_path: Path) -> None:
    day = """
name = "one"
[day]
length_s = 13
[nodes]
count = 5
fleet = true
[[tiers]]
servers = 4
[arrivals]
rate_per_s = 30
[[faults]]
kind = "kill"
at_s = 1
nodes = ["n4"]
back_s = 2
[[faults]]
kind = "split"
at_s = 4
for_s = 4
parts = [["n1", "n2"], ["n3", "n4", "n5"]]
"""
    result = play_processes(parse(day), 1, lambda share: None, None, tmp_path)
    assert result.broken == {}
    beliefs = result.series.beliefs
    assert all(max(figures["fleet_members"]) == 5 for figures in beliefs.values())
    assert all(figures["fleet_errors"][-1] == 0 for figures in beliefs.values())
    assert all(figures["fleet_members"][-1] == 5 for figures in beliefs.values())
    # A partition of two members out of five must not count as the whole fleet.
    assert all(min(figures["fleet_nodes"]) >= 5 for name, figures in beliefs.items() if name in ("n1", "n2"))


def role_transitions(logs: Path) -> list[tuple[float, str, str, int]]:
    """Return from the nodes' logs when which node acquired or lost the role, with the token, by time."""
    pattern = re.compile(
        r"\S+ (\d+):(\d+):(\d+),(\d+) (\S+) INFO (holds|stops) divergence-watch, token (\d+)"
    )
    found = []
    for file in logs.glob("*.log"):
        for match in filter(None, map(pattern.match, file.read_text().splitlines())):
            hours, minutes, seconds, ms = (int(part) for part in match.groups()[:4])
            at = 3600.0 * hours + 60.0 * minutes + seconds + ms / 1000.0
            found.append((at, match[5], match[6], int(match[7])))
    return sorted(found)


def test_role_has_one_holder_through_kills_and_suspensions_of_processes(tmp_path: Path) -> None:
    """Tokens increase with time, only a suspended process stops late, and some node holds the role."""
    day = """
name = "duty"
[day]
length_s = 22
[nodes]
count = 5
fleet = true
[[tiers]]
servers = 3
[arrivals]
rate_per_s = 10
[[faults]]
kind = "kill"
at_s = 6
nodes = ["share:0.4"]
back_s = 3
[[faults]]
kind = "stop"
at_s = 14
for_s = 5
nodes = ["share:0.4"]
"""
    result = play_processes(parse(day), 2, lambda share: None, None, tmp_path)
    assert result.broken == {}
    transitions = role_transitions(tmp_path)
    held = [(at, who, token) for at, who, what, token in transitions if what == "holds"]
    assert held
    tokens = [token for _, _, token in held]
    assert tokens == sorted(set(tokens))
    stopped = {name for fault in result.faults if fault.name.endswith("stop") for name in fault.whom}
    for (_, who, token), (after, _, _) in pairwise(held):
        late = [at for at, *what in transitions if what == [who, "stops", token] and at > after]
        assert not late or who in stopped


@pytest.mark.parametrize(
    ("share", "groups", "siblings", "place"),
    [
        (["verdict"], [], 3, "share[0] is 'verdict', which is none of verdicts, limits, affinity"),
        (["affinity"], [], 3, "'groups' must name the zones, two or more"),
        (["affinity"], ["linz", "linz"], 3, "'groups' must be names of zones, each once"),
        (["affinity"], ["linz", "wien"], 2, "affinity needs 3 nodes or more"),
    ],
)
def test_invalid_share_is_rejected_with_its_path(
    tmp_path: Path, share: list[str], groups: list[str], siblings: int, place: str
) -> None:
    fleet = {"name": "linz", "bind": "127.0.0.1:7400", "seeds": [], "share": share, "groups": groups}
    with pytest.raises(ConfigFileError, match=re.escape(place)):
        config(tmp_path, nodes=siblings, fleet=fleet)


def test_processes_share_verdicts_and_report_them_at_their_admin_endpoints(tmp_path: Path) -> None:
    """One server returns errors and one node is killed."""
    result = play_processes(parse(SHARED_DAY), 3, lambda share: None, None, tmp_path)
    assert result.broken == {}
    beliefs = result.series.beliefs["n1"]
    assert max(beliefs["fleet_avoided"]) == 1.0  # the verdict takes reports of several nodes
    assert min(beliefs["fleet_parts_fallback"][-3:]) == 0.0 and beliefs["fleet_errors"][-1] == 0.0
    assert beliefs["fleet_records"][-1] >= 4.0


def test_admin_endpoint_writes_table_rows_and_rejects_invalid_ones(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LocalFleet(tmp_path, ["n1", "n2", "n3"], voters=["n1", "n2", "n3"])
        try:
            hosts = [m.roles for m in fleet.members.values() if m.roles is not None]
            await wait_until(lambda: any(h.table_status()[1]["step"] == "open" for h in hosts))
            holder = next(h for h in hosts if h.table_status()[1]["here"])
            other = next(h for h in hosts if h is not holder)
            assert other.write_row("key=a&value=b")[0] == 409
            assert holder.write_row("key=limit/t&value=many")[0] == 400
            assert holder.write_row("key=&value=b")[0] == 409
            assert holder.write_row("key=limit/t&value=12.5")[0] == 202
            await wait_until(lambda: holder.table_status()[1]["entries"][-1]["state"] == "kept")
            holder.release_all()
            await wait_until(lambda: any(h.table_status()[1]["rows"] for h in hosts if h is not holder))
            after = next(h for h in hosts if h.table_status()[1]["rows"]).table_status()[1]
            assert [(row["key"], row["value"]) for row in after["rows"]] == [("limit/t", "12.5")]
            assert not after["lost"]
        finally:
            fleet.close()

    run(test())


def test_voter_change_at_the_admin_endpoint_reaches_all_members(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = LocalFleet(tmp_path, ["n1", "n2", "n3", "n4"], voters=["n1", "n2", "n3"])
        try:
            hosts = [m.roles for m in fleet.members.values() if m.roles is not None]
            await wait_until(lambda: any(h.table_status()[1]["step"] == "open" for h in hosts))
            holder = next(h for h in hosts if h.table_status()[1]["here"])
            assert next(h for h in hosts if h is not holder).change_voters("add=n4")[0] == 409
            assert holder.write_row("key=voters&value=x")[0] == 400
            for bad in ("add=n3", "add=n9", "remove=n1", "add=n4&remove=n1", ""):
                assert holder.change_voters(bad)[0] == 409
            assert holder.change_voters("add=n4")[0] == 202
            await wait_until(lambda: all(h.voters_status()[1]["change"] == 1 for h in hosts))
            assert holder.table_status()[1]["entries"][-1]["state"] == "kept"
            assert "change 1" in holder.voters_status()[1]["why_no_change"]
            await wait_until(lambda: not holder.voters_status()[1]["why_no_change"])
            assert holder.change_voters("remove=n1")[0] == 202
            await wait_until(lambda: all(h.status()[1]["voters"] == ["n2", "n3", "n4"] for h in hosts))
        finally:
            fleet.close()

    run(test())


def test_received_view_updates_the_member_count_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    counted: list[int] = []

    class CountingMemberCount(MemberCount):
        def observe(self, alive: set[str], now: float) -> None:
            counted.append(len(alive))
            super().observe(alive, now)

    async def play() -> None:
        fleet = LocalFleet(tmp_path, ["n1"])
        try:
            peers = fleet.members["n1"]
            monkeypatch.setattr(peers, "member_count", CountingMemberCount("n1", 0, 3))
            facts: dict[str, Any] = {"tier": 0.0}
            records = [Record(f"m{n}", 1, 0, 0, 7, f"127.0.0.9:{n + 1}", 0, facts) for n in range(200)]
            peers.handle(api.PushPullReceived(State(Header("m0", 1, 0, 0), records), "127.0.0.9:1", True))
            assert peers.core.alive_count() == 201
            assert counted == [201]
        finally:
            fleet.close()

    run(play())
