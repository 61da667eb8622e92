"""The discovery agent on a node's machine, on a socket: whole lists and watches."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, cast
from urllib.parse import parse_qs

import httptools

from lab import records
from lab.processes.block import text
from lab.registry import Agent, Entry, told_entries

if TYPE_CHECKING:
    from lab.processes.host import ProcessHost

MOST_WAIT_MS = 60_000.0


class AgentConnection(asyncio.Protocol):
    """One connection to an agent; one call at a time."""

    def __init__(self, host: ProcessHost, agent: Agent) -> None:
        self._host, self._agent = host, agent
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._turn = 0
        self._watch: int | None = None  # the version that a watch waits from

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._host.watches[self._agent.node].add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.watches[self._agent.node].discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._host.broke(self._agent.node, f"to discovery: {problem}: {data[:60]!r}")
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        path, _, query = self._url.decode("latin-1").partition("?")
        self._url = b""
        self._turn += 1
        self._parser = httptools.HttpRequestParser(self)
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        if path != "/api/targets":
            self._host.broke(self._agent.node, f"to discovery: {path!r}")
            return self._write(404, {})
        if self._agent.silent:
            return
        if "index" not in asked:
            return self._tell_whole()
        try:
            index, wait_ms = int(asked["index"]), float(asked.get("wait", "0"))
        except ValueError:
            self._host.broke(self._agent.node, f"to discovery: {query!r}")
            return self._write(400, {})
        changed = self._agent.after(index)
        if changed is None:
            return self._tell_whole()
        if changed or not wait_ms:
            return self._tell(changed)
        self._watch = index
        self._host.after(min(wait_ms, MOST_WAIT_MS), self._expire, self._turn)

    def _expire(self, turn: int) -> None:
        if turn == self._turn and self._watch is not None and not self._agent.silent:
            self._tell([])

    def news(self) -> None:
        """Something has changed: whoever watches is told."""
        if self._watch is not None:
            changed = self._agent.after(self._watch)
            if changed:
                self._tell(changed)

    def _tell_whole(self) -> None:
        self._tell(self._agent.full_list(), True)

    def _tell(self, entries: list[Entry], whole: bool = False) -> None:
        self._watch = None
        now = self._host.now()
        self._host.tell(records.Told(now, self._agent.node, self._agent.index, whole, told_entries(entries)))
        self._write(200, listing(self._host, self._agent, entries, whole))

    def _write(self, status: int, content: dict[str, Any]) -> None:
        if not self._transport.is_closing():
            body = json.dumps(content).encode()
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            self._transport.write(head.encode() + body)


def listing(host: ProcessHost, agent: Agent, entries: list[Entry], whole: bool) -> dict[str, Any]:
    """A list in discovery's form, with the addresses at which this node finds its servers."""
    node = host.places[agent.node]
    return {
        "index": agent.index,
        "snapshot": whole,
        "endpoints": [
            {
                "name": entry.name,
                "address": text(host.block.server(node, host.server_places[entry.name])),
                "zone": host.servers[entry.name].zone,
                "type": "lab",
                "group": host.servers[entry.name].cell,
                "status": entry.status,
                "weight": 1.0,
                "since_ms": round(host.wall_ms(entry.since_ms)) if entry.since_ms else 0,
            }
            for entry in entries
        ],
    }
