"""Cells over sockets: splits, joining with and without the directory, its process, and invalid settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import urllib.request
from pathlib import Path
from typing import Any

import pytest

from dunlinloft.cli.admin_client import decode_document
from dunlinloft.cli.admin_documents import CellDocument, DirectoryDocument
from dunlinloft.cli.handlers.cells import cell_lines, render_directory
from dunlinloft.cli.handlers.config_check import check_file
from dunlinloft.fleet.cells.partition import name_path
from dunlinloft.node.config import ConfigFileError, DirectoryConfig, read_directory_config
from dunlinloft.node.fleet.directory import DirectoryHost
from dunlinloft.node.fleet.peers import MemberIdentity, Peers
from dunlinloft.node.fleet_config import CellsConfig, FleetConfig
from lab.processes.block import Block, text
from tests.peers import WAIT_TIMEOUT_S, run, settings, wait_until
from tests.test_peers import config
from tests.test_wire import ROOT

MAX_MEMBERS = 6
DIRECTORY = 200  # index of the directory's first address in the block, beyond those of members


class Service:
    """Members of one service in one region, and the directory's processes."""

    def __init__(self, members: int, processes: int, seeds: list[int] | None = None) -> None:
        self.block = Block()
        loop = asyncio.get_running_loop()
        places = [text(self.block.peer(DIRECTORY + n)) for n in range(processes)]
        self.directory = [
            DirectoryHost(
                DirectoryConfig(f"d{n}", n, None, "z1", FleetConfig("linz", at, at, places[:1], [])), loop
            )
            for n, at in enumerate(places)
        ]
        self._places = places
        self.members: dict[str, Peers] = {}
        self._seeds = [text(self.block.peer(n)) for n in seeds or []]
        self._first = members

    async def start(self) -> None:
        for host in self.directory:
            await host.start()
        for n in range(self._first):
            self.add(n)

    def add(self, n: int) -> Peers:
        at = text(self.block.peer(n))
        fleet = FleetConfig("linz", at, at, self._seeds, [])
        fleet.cells = CellsConfig("booking", "east", MAX_MEMBERS, self._places)
        own = MemberIdentity(f"m{n}", n, "z1", 0, n, self._first)
        peers = Peers(asyncio.get_running_loop(), own, fleet, lambda number, nodes: None, lambda: 2)
        self.members[own.name] = peers
        peers.start()
        return peers

    def settled(self) -> bool:
        """Whether each member sees exactly the members of its cell, and no cell is too large."""
        for peers in self.members.values():
            core = peers.core
            assert peers.cells is not None
            cut = peers.cells.core.partition
            truth = {name for name in self.members if cut.includes_path(name_path(name))}
            seen = {m.name for m in core.view.members.values() if m.is_alive()} | {core.name}
            if seen != truth or len(truth) > MAX_MEMBERS or core.status:
                return False
        return True

    async def close(self) -> None:
        for peers in self.members.values():
            peers.leave_fleet(handing_over=True)
        for host in self.directory:
            await host.stop()
        self.block.release()


def test_cell_splits_and_new_member_finds_its_cell_by_the_directory() -> None:
    async def run_service() -> None:
        service = Service(14, 2)
        await service.start()
        try:
            await wait_until(service.settled)
            new_member = service.add(20)
            await wait_until(service.settled)
            assert new_member.core.alive_count() > 1
            for peers in service.members.values():
                assert peers.counts["errors"] == 0 and peers.counts["refused"] == 0
                assert peers.core.deaths_declared == 0

            def listed() -> bool:
                """Whether each process lists each cell; it may still list cells that were replaced."""
                truth = {
                    p.cells.core.partition.text(): p.core.alive_count()
                    for p in service.members.values()
                    if p.cells
                }
                status = [host.status()[1]["services"].get("booking", []) for host in service.directory]
                return all(
                    truth.items() <= {c["cell"]: c["members"] for c in cells}.items() for cells in status
                )

            await wait_until(listed)  # by both processes: reports to one are replicated to the other
            state = service.directory[0].status()[1]
            directory = render_directory(decode_document(state, DirectoryDocument))
            assert state["learning"] and "not know of all yet" in str(directory.renderables[1])
            status = new_member.cells.status()[1] if new_member.cells else {}
            assert status["fallback"] and status["directory"]["age_s"] is not None  # it has just started
            assert any("fallback" in line for line in cell_lines(decode_document(status, CellDocument)))
            assert all(
                p.member_count.total() >= 14 for p in service.members.values()
            )  # a split removes no member
        finally:
            await service.close()

    run(run_service())


def test_new_member_finds_its_cell_by_any_seed_without_a_directory() -> None:
    async def run_service() -> None:
        service = Service(14, 0, seeds=[0, 1, 2])
        await service.start()
        try:
            await wait_until(service.settled)
            cuts = {peers.cells.core.partition.cell() for peers in service.members.values() if peers.cells}
            assert len(cuts) > 1
            for n in (30, 31, 32):
                service.add(n)
            await wait_until(service.settled)
            assert all(peers.core.deaths_declared == 0 for peers in service.members.values())
        finally:
            await service.close()

    run(run_service())


INVALID_CELLS: list[tuple[dict[str, Any], dict[str, Any], str]] = [
    ({"service": "a b"}, {}, "fleet.cells.service: 'service' must be 1 to 64 of letters"),
    ({"region": ""}, {}, "fleet.cells.region: 'region' must be 1 to 64"),
    ({"region": None}, {}, "fleet.cells.region: 'region' must be a string, not None"),
    ({"most": 3}, {}, "fleet.cells.most: 'most' must be 4 to 1000"),
    ({"most": "many"}, {}, "fleet.cells.most: 'most'"),
    ({"directory": ["nowhere"]}, {}, "fleet.cells.directory[0]: directory[0]: 'nowhere' is no address"),
    ({"directory": [7]}, {}, "fleet.cells.directory[0]: directory[0] must be a string, not 7"),
    ({}, {"voters": ["n1", "n2", "n3"]}, "fleet.voters: 'voters' must be absent"),
    ({}, {"share": ["limits"]}, "fleet.share: 'share' may name verdicts alone beside 'cells'"),
]


@pytest.mark.parametrize(("cells", "more", "line"), INVALID_CELLS)
def test_invalid_cell_settings_are_rejected_in_one_line_with_their_path(
    tmp_path: Path, cells: dict[str, Any], more: dict[str, Any], line: str
) -> None:
    good = {"service": "booking", "region": "east", "directory": ["127.0.0.1:7400"]}
    fleet = {"name": "linz", "bind": "127.0.0.1:7400", "seeds": []}
    made = config(tmp_path, fleet=fleet | {"cells": good})
    assert made.fleet is not None and made.fleet.cells is not None and made.fleet.cells.max_members == 100
    with pytest.raises(ConfigFileError) as caught:
        config(tmp_path, fleet=fleet | more | {"cells": good | cells})
    message = str(caught.value)
    assert line in message and "\n" not in message


def directory_file(tmp_path: Path, **more: Any) -> Path:
    obj = {"name": "d1", "seed": "ab", "fleet": {"name": "linz", "bind": "127.0.0.1:7400", "seeds": []}}
    file = tmp_path / "directory.json"
    file.write_text(json.dumps(obj | more))
    return file


def test_invalid_directory_settings_are_rejected_in_one_line_with_their_path(tmp_path: Path) -> None:
    assert read_directory_config(str(directory_file(tmp_path))).fleet.name == "linz"
    assert check_file(directory_file(tmp_path), of_directory=True) == []
    cases: list[tuple[dict[str, Any], str]] = [
        ({"fleet": None}, "'fleet' is missing"),
        ({"seed": "xyz"}, "seed: 'seed' must be hex digits"),
        (
            {"fleet": {"name": "l", "bind": "127.0.0.1:1", "seeds": [], "voters": ["a", "b", "c"]}},
            "fleet.voters:",
        ),
    ]
    for more, line in cases:
        with pytest.raises(ConfigFileError) as caught:
            read_directory_config(str(directory_file(tmp_path, **more)))
        assert line in str(caught.value) and "\n" not in str(caught.value)
        assert len(check_file(directory_file(tmp_path, **more), of_directory=True)) >= 1


def test_directory_process_survives_invalid_datagrams_and_ends_at_sigterm(
    tmp_path: Path,
) -> None:
    block = Block()
    at, admin = block.peer(1), block.peer(2)
    fleet = {"name": "linz", "bind": text(at), "seeds": []}
    file = directory_file(tmp_path, fleet=fleet, management=text(admin))
    environment = os.environ | {"NODE_CONFIG": str(file)}
    process = subprocess.Popen(
        [sys.executable, "-B", "-m", "dunlinloft.node.fleet.directory"], env=environment, cwd=ROOT
    )
    try:

        def ask(what: str) -> dict[str, Any]:
            with urllib.request.urlopen(f"http://{text(admin)}/admin/{what}", timeout=5.0) as answer:
                found: dict[str, Any] = json.load(answer)
                return found

        async def up() -> None:
            while True:
                try:
                    await asyncio.to_thread(ask, "health")
                    return
                except OSError:
                    await asyncio.sleep(0.05)

        asyncio.run(asyncio.wait_for(up(), WAIT_TIMEOUT_S))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign_socket:
            for data in (b"", b"\x03", b"\x03" + bytes(40), os.urandom(300), b"\x02" * 20, bytes(1400)):
                foreign_socket.sendto(data, at)
        status = ask("directory")
        while sum(status["refused_for"].values()) < 5:  # the empty datagram may not be delivered
            status = ask("directory")
        assert status["services"] == {} and status["learning"]
        command = [sys.executable, "-m", "dunlinloft", "fleet", "directory", "--admin", text(admin)]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=WAIT_TIMEOUT_S)
        assert done.returncode == 1 and "started lately" in done.stdout  # it has not yet heard of all cells
        process.send_signal(signal.SIGTERM)
        assert process.wait(WAIT_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        block.release()


def test_node_of_a_flat_fleet_loads_no_cell_modules(tmp_path: Path) -> None:
    made = config(tmp_path, fleet={"name": "linz", "bind": "127.0.0.1:7400", "seeds": []})
    assert made.fleet is not None and made.fleet.cells is None and settings()
    code = (
        "import sys, dunlinloft.node.fleet.peers; "
        "print(sorted(set(sys.modules) & {'dunlinloft.node.fleet.cells', 'dunlinloft.fleet.cells.core', "
        "'dunlinloft.fleet.cells.wire', "
        "'dunlinloft.fleet.cells.settings', 'dunlinloft.fleet.cells.directory_lookup', "
        "'dunlinloft.fleet.cells.bootstrap_addresses', 'dunlinloft.fleet.cells.metadata', "
        "'dunlinloft.fleet.cells.report_store', 'dunlinloft.fleet.cells.report_replication', "
        "'dunlinloft.fleet.cells.index', 'dunlinloft.fleet.cells.directory'}))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert found.stdout.strip() == "[]"
