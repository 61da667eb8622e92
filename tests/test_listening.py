"""A process listens before it serves: who connects in between waits and is answered."""

from __future__ import annotations

import asyncio
import socket

import pytest
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from dunlinloft.transport.listening import listen


async def _answer(_: BaseRequest) -> StreamResponse:
    return Response(text="served")


def test_a_connection_that_came_before_the_server_is_served() -> None:
    async def play() -> None:
        listening = listen("127.0.0.1:0")
        host, port = listening.getsockname()
        with socket.create_connection((host, port), timeout=5.0) as early:
            early.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            server = await asyncio.get_running_loop().create_server(Server(_answer), sock=listening)
            early.setblocking(False)
            async with asyncio.timeout(5.0):
                text = await asyncio.get_running_loop().sock_recv(early, 4_096)
            assert text.startswith(b"HTTP/1.1 200")
            server.close()

    asyncio.run(play())


def test_an_address_that_is_taken_is_told() -> None:
    with listen("127.0.0.1:0") as first, pytest.raises(OSError, match="in use"):
        listen(f"127.0.0.1:{first.getsockname()[1]}")
