"""The operators' admin endpoint, its metrics and the drain that it starts."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from dunlinloft.cli import main
from dunlinloft.node import management
from dunlinloft.node.config import read_config
from dunlinloft.node.figures import NodeMetrics
from dunlinloft.node.http import frontend
from tests.peers import Caller, NodeHarness, Server, answer, node_harness, request, run, wait_until


async def admin_endpoint(harness: NodeHarness) -> tuple[str, int]:
    """Open the node's admin endpoint; return its address."""
    assert harness.node is not None
    return await harness.node.admin.listen(("127.0.0.1", 0))


async def call(address: tuple[str, int], data: bytes) -> tuple[int, dict[str, Any]]:
    reader, writer = await asyncio.open_connection(*address)
    caller = Caller(reader, writer)
    caller.write(data)
    seen = await caller.read()
    assert seen.headers["connection"] == "close" and await caller.closed()
    writer.close()
    return seen.status, json.loads(seen.body)


async def get(address: tuple[str, int], path: str, method: str = "GET") -> tuple[int, dict[str, Any]]:
    return await call(address, f"{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())


def test_wrong_methods_unknown_paths_and_invalid_http_get_errors(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path, Server()) as harness:
            address = await admin_endpoint(harness)
            assert (await get(address, "/admin/health"))[0] == 200
            assert (await get(address, "/admin/health", "POST"))[0] == 405
            assert (await get(address, "/admin/quiesce"))[0] == 405
            assert (await get(address, "/admin/else"))[0] == 404
            assert (await call(address, b"\x00rubbish\r\n\r\n"))[0] == 400
            long = b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * 20_000
            assert (await call(address, long))[0] == 413
            assert (await get(address, "/admin/health"))[0] == 200, "the long call must not have counted"

    run(test())


def test_silent_callers_do_not_delay_others_and_are_timed_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(management, "MAX_CALLERS", 3)
        async with node_harness(tmp_path, Server()) as harness:
            address = await admin_endpoint(harness)
            silent = [Caller(*await asyncio.open_connection(*address)) for _ in range(5)]
            silent[4].write(b"GET /admin/st")
            assert (await get(address, "/admin/stats"))[0] == 200
            for caller in silent[:2]:  # the oldest ones were timed out
                assert (await caller.read()).status == 408
            for caller in silent:
                caller.writer.close()

    run(test())


def test_silent_caller_is_timed_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(management, "REQUEST_TIMEOUT_S", 0.05)
        async with node_harness(tmp_path, Server()) as harness:
            caller = Caller(*await asyncio.open_connection(*await admin_endpoint(harness)))
            assert (await caller.read()).status == 408 and await caller.closed()
            caller.writer.close()

    run(test())


def test_admin_endpoint_is_open_only_if_configured(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("NODE_MANAGEMENT", raising=False)
    path = tmp_path / "config.json"
    config = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ab"}

    async def test() -> None:
        async with node_harness(tmp_path, start=False) as harness:
            path.write_text(json.dumps(harness.config | config))
            assert read_config(str(path)).management is None
            path.write_text(json.dumps(harness.config | config | {"management": "127.0.0.1:7"}))
            assert read_config(str(path)).management == ("127.0.0.1", 7)
            monkeypatch.setenv("NODE_MANAGEMENT", "127.0.0.1:8")
            assert read_config(str(path)).management == ("127.0.0.1", 8)

    run(test())


def test_metrics_count_each_outcome_once(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(), answer(500, b"no"), answer(503, b"", "X-Rejected: 1\r\n"), name="s")
        async with node_harness(tmp_path, server, permissions={"max_attempts": 1}) as harness:
            address = await admin_endpoint(harness)
            assert (await harness.ask("a", "save")).status == 200
            assert (await harness.ask("b", "save")).status == 502
            assert (await harness.ask("c", "pay")).status == 503
            server.gate.clear()
            caller = await harness.caller()
            caller.write(request("d", "read"))
            await wait_until(lambda: len(server.seen) == 4)
            _, figures = await get(address, "/admin/stats")
            assert figures["calls"]["save"] == {"success": 1, "busy": 0, "failure": 1}
            assert figures["calls"]["pay"] == {"success": 0, "busy": 1, "failure": 0}
            assert figures["calls"]["read"] == {"success": 0, "busy": 0, "failure": 0}
            assert (figures["inflight"], figures["backend_calls"]) == (1, 4)
            assert figures["hosts_listed"] == 1
            assert (figures["reconfig_ok"], figures["reconfig_failed"]) == (0, 0)
            harness.registry.publish(
                server.entry(name="t", address="127.0.0.1:1"), server.entry(status="leaving")
            )
            server.gate.set()
            assert (await caller.read()).status == 200
            await wait_until(lambda: len(harness.node._addresses) == 2)  # type: ignore[union-attr]
            _, figures = await get(address, "/admin/stats")
            assert (figures["hosts_listed"], figures["hosts_down"]) == (2, 1)
            assert figures["calls"]["read"]["success"] == 1 and figures["inflight"] == 0

    run(test())


def test_removed_class_keeps_its_counters() -> None:
    figures = NodeMetrics(["old"])
    figures.on_request_completed("old", 200)
    figures.add_classes(["new"])
    figures.on_request_completed("old", 502)
    figures.on_request_completed("unknown", 200)
    assert figures.to_json()["calls"] == {
        "old": {"success": 1, "busy": 0, "failure": 1},
        "new": {"success": 0, "busy": 0, "failure": 0},
    }


def test_drain_fails_readiness_closes_connections_and_refuses_late_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            address = await admin_endpoint(harness)
            idle, held, late = [await harness.caller() for _ in range(3)]
            assert (await idle.ask("idle")).status == 200
            server.gate.clear()
            held.write(request("held", "pay"))
            await wait_until(lambda: len(server.seen) == 2)
            assert (await get(address, "/admin/quiesce", "POST"))[0] == 200
            assert (await get(address, "/admin/quiesce", "POST"))[0] == 200
            assert (await get(address, "/admin/health"))[0] == 503
            probe = await harness.caller()
            probe.write(b"GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            assert (await probe.read()).status == 500 and await probe.closed()
            assert await idle.closed()
            server.gate.set()
            reply = await held.read()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            reply = await harness.ask("early")  # the front proxy may still send requests
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            monkeypatch.setattr(frontend, "DRAIN_ACCEPT_MS", 0.0)
            seen = len(server.seen)
            late.write(request("late"))
            with_answer = not await late.closed()
            assert not with_answer or len(server.seen) == seen
            assert (await get(address, "/admin/resume", "POST"))[0] == 200
            assert (await get(address, "/admin/health"))[0] == 200
            again = await harness.caller()
            reply = await again.ask("again")
            assert reply.status == 200 and "connection" not in reply.headers
            assert (await again.ask("and again")).status == 200

    run(test())


def test_late_request_during_a_drain_is_refused_and_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        monkeypatch.setattr(frontend, "DRAIN_ACCEPT_MS", -1.0)
        monkeypatch.setattr(frontend, "DRAIN_CLOSE_DELAY_MS", 1e9)
        server = Server()
        async with node_harness(tmp_path, server) as harness:
            address = await admin_endpoint(harness)
            await get(address, "/admin/quiesce", "POST")
            reply = await harness.ask("late", "pay")
            assert (reply.status, reply.headers["connection"]) == (503, "close")
            assert (await get(address, "/admin/stats"))[1]["calls"]["pay"]["busy"] == 1
            assert not server.seen

    run(test())


def test_resume_without_a_drain_has_no_effect(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_harness(tmp_path, Server()) as harness:
            address = await admin_endpoint(harness)
            caller = await harness.caller()
            assert (await caller.ask("a")).status == 200
            assert (await get(address, "/admin/resume", "POST"))[0] == 200
            assert (await caller.ask("b")).status == 200

    run(test())


@pytest.mark.parametrize(
    "command",
    [["fleet", "members"], ["fleet", "ledger"], ["release", "status"], ["release", "halt"]],
    ids=" ".join,
)
def test_removed_option_door_is_rejected_with_its_new_name(command: list[str]) -> None:
    """Operators may still use the old name, from habit or from notes."""
    done = CliRunner().invoke(main, [*command, "--door", "127.0.0.1:9100"])
    assert done.exit_code == 2
    assert "--door is called --admin now" in done.output
    assert "--door" not in CliRunner().invoke(main, [*command, "--help"]).output
