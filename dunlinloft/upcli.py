"""`dunlinloft lab up`: a router fleet on loopback in one command, until Ctrl-C."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
from rich.console import Console

from lab.router.fleet import FRONT, RouterFleet
from lab.router.model_server import ModelServer

HOST, KEY, SERVICE = "assistant.example", "key-of-the-lab", "pool"
MODEL_SERVERS = 3
out = Console(highlight=False, soft_wrap=True)


def first_configuration() -> dict[str, Any]:
    """A stream that may be resumed, one that may not, and a plain request, for one tenant."""
    common = {"hostname": HOST, "service": SERVICE, "target_latency_ms": 300, "max_attempts": 2}
    return {
        "version": 1,
        "routes": [
            {**common, "name": "chat", "path_prefix": "/stream/chat/", "type": "streaming"}
            | {"timeout_ms": 15_000, "resumable": True},
            {**common, "name": "check", "path_prefix": "/stream/check/", "type": "streaming"}
            | {"timeout_ms": 3_000},
            {**common, "name": "status", "path_prefix": "/status/", "type": "unsafe", "timeout_ms": 1_500},
        ],
        "services": [{"name": SERVICE, "health_check_path": "/healthz", "max_connections": 64}],
        "tenants": [{"name": "lab", "api_keys": [KEY]}],
    }


async def _up(fleet: RouterFleet, stop: asyncio.Event) -> None:
    servers = [ModelServer(f"127.{fleet.network}.2.{n}", SERVICE) for n in range(1, MODEL_SERVERS + 1)]
    async with aiohttp.ClientSession() as session:
        try:
            for server in servers:
                await server.start(fleet.control_addresses())
            status = await fleet.put(session, first_configuration(), 0)
            await fleet.wait_ready(session)
            _say(fleet, status)
            await stop.wait()
        finally:
            for server in servers:
                await server.stop()


def _say(fleet: RouterFleet, status: int) -> None:
    front, control = fleet.data[0].host, fleet.control_addresses()[0]
    out.print(f"first configuration: {status}")
    for process in (*fleet.control, *fleet.data):
        assert process.process is not None
        out.print(f"{process.name:10} {process.host:12} pid {process.process.pid}  log {process.log}")
    out.print("\nask (any node will do):")
    out.print(
        f"  curl -N -H 'Host: {HOST}' -H 'Api-Key: {KEY}' -H 'X-Attempt-Id: 1' -d hello "
        f"http://{front}:{FRONT}/stream/chat/1"
    )
    out.print("read the configuration:")
    out.print(f"  curl http://{control}/configuration/describe")
    out.print("Ctrl-C ends all.")


def up(controls: int, nodes: int, network: int) -> int:
    """Start a fleet and serve until a signal; the exit status."""

    async def main(fleet: RouterFleet) -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stop.set)
        work = asyncio.create_task(_up(fleet, stop))
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait((work, stopped), return_when=asyncio.FIRST_COMPLETED)
        if not work.done() and not stop.is_set():
            work.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work
        stopped.cancel()

    with tempfile.TemporaryDirectory(prefix="dunlinloft-") as folder:
        fleet = RouterFleet(Path(folder), network, controls, nodes)
        fleet.start()
        try:
            asyncio.run(main(fleet))
        except TimeoutError:
            out.print("the fleet did not come up; the last words of its processes:")
            for process in (*fleet.control, *fleet.data):
                out.print(f"{process.name}: {process.log.read_text(errors='replace')[-500:]}")
            return 1
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)  # a second Ctrl-C must not leave processes behind
            fleet.stop()
    out.print("all processes have ended")
    return 0
