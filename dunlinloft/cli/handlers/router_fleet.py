"""`dunlinloft lab up`: a router fleet on loopback, with simulated model servers, until Ctrl-C."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
from pathlib import Path

import aiohttp

from dunlinloft.cli.consoles import plain_stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.coordination.state import Document
from lab.router.fleet import FRONTEND_PORT, RouterFleet
from lab.router.model_server import ModelServer

HOSTNAME = "assistant.example"
API_KEY = "key-of-the-lab"
SERVICE = "pool"
MODEL_SERVERS = 3
LOG_TAIL_CHARACTERS = 500  # printed of each process's log if the fleet does not become ready


def initial_configuration() -> Document:
    """Return routes for a resumable stream, a plain stream and a plain request, and one tenant."""
    common = {"hostname": HOSTNAME, "service": SERVICE, "target_latency_ms": 300, "max_attempts": 2}
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
        "tenants": [{"name": "lab", "api_keys": [API_KEY]}],
    }


async def _serve_until(fleet: RouterFleet, stop: asyncio.Event) -> None:
    servers = [ModelServer(f"127.{fleet.network}.2.{n}", SERVICE) for n in range(1, MODEL_SERVERS + 1)]
    async with aiohttp.ClientSession() as session:
        try:
            for server in servers:
                await server.start(fleet.control_addresses())
            status = await fleet.put(session, initial_configuration(), 0)
            await fleet.wait_ready(session)
            _print_instructions(fleet, status)
            await stop.wait()
        finally:
            for server in servers:
                await server.stop()


def _print_instructions(fleet: RouterFleet, status: int) -> None:
    front = fleet.data[0].host
    control = fleet.control_addresses()[0]
    plain_stdout.print(f"initial configuration: HTTP status {status}")
    for process in (*fleet.control, *fleet.data):
        assert process.process is not None
        plain_stdout.print(
            f"{process.name:10} {process.host:12} pid {process.process.pid}  log {process.log}"
        )
    plain_stdout.print("\nsend a request (to any node):")
    plain_stdout.print(
        f"  curl -N -H 'Host: {HOSTNAME}' -H 'Api-Key: {API_KEY}' -H 'X-Attempt-Id: 1' -d hello "
        f"http://{front}:{FRONTEND_PORT}/stream/chat/1"
    )
    plain_stdout.print("read the configuration:")
    plain_stdout.print(f"  curl http://{control}/configuration/describe")
    plain_stdout.print("press Ctrl-C to stop all processes")


async def _serve_until_signal(fleet: RouterFleet) -> None:
    """Serve until SIGINT or SIGTERM. Raises `TimeoutError` if the fleet does not become ready."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    work = asyncio.create_task(_serve_until(fleet, stop))
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((work, stopped), return_when=asyncio.FIRST_COMPLETED)
    if not work.done() and not stop.is_set():
        work.cancel()
    try:
        with contextlib.suppress(asyncio.CancelledError):
            await work
    finally:
        stopped.cancel()


def serve(controls: int, nodes: int, network: int) -> ExitCode:
    """Start a fleet on 127.NETWORK.x.y and serve until a signal; fails if it does not become ready."""
    with tempfile.TemporaryDirectory(prefix="dunlinloft-") as folder:
        fleet = RouterFleet(Path(folder), network, controls, nodes)
        fleet.start()
        try:
            asyncio.run(_serve_until_signal(fleet))
        except TimeoutError:
            plain_stdout.print("the fleet did not become ready; the ends of its processes' logs:")
            for process in (*fleet.control, *fleet.data):
                tail = process.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
                plain_stdout.print(f"{process.name}: {tail}")
            return ExitCode.CHECK_FAILED
        finally:
            signal.signal(signal.SIGINT, signal.SIG_IGN)  # a second Ctrl-C must not leave children running
            fleet.stop()
    plain_stdout.print("all processes have stopped")
    return ExitCode.SUCCESS
