"""HTTP interface of the discovery agent on a node's machine: full lists and watches."""

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

MAX_WAIT_MS = 60_000.0


class AgentConnection(asyncio.Protocol):
    """A connection to an agent; handles one request at a time."""

    def __init__(self, host: ProcessHost, agent: Agent) -> None:
        self._host, self._agent = host, agent
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._request_number = 0
        self._watch: int | None = None  # version from which the pending watch waits

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
        self._request_number += 1
        self._parser = httptools.HttpRequestParser(self)
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        if path != "/api/targets":
            self._host.broke(self._agent.node, f"to discovery: {path!r}")
            return self._write(404, {})
        if self._agent.silent:
            return
        if "index" not in parameters:
            return self._send_full_list()
        try:
            index, wait_ms = int(parameters["index"]), float(parameters.get("wait", "0"))
        except ValueError:
            self._host.broke(self._agent.node, f"to discovery: {query!r}")
            return self._write(400, {})
        changed = self._agent.after(index)
        if changed is None:
            return self._send_full_list()
        if changed or not wait_ms:
            return self._send_list(changed)
        self._watch = index
        self._host.after(min(wait_ms, MAX_WAIT_MS), self._expire, self._request_number)

    def _expire(self, request_number: int) -> None:
        if request_number == self._request_number and self._watch is not None and not self._agent.silent:
            self._send_list([])

    def notify_watch(self) -> None:
        """Answer the pending watch, if any, with the changes."""
        if self._watch is not None:
            changed = self._agent.after(self._watch)
            if changed:
                self._send_list(changed)

    def _send_full_list(self) -> None:
        self._send_list(self._agent.full_list(), True)

    def _send_list(self, entries: list[Entry], whole: bool = False) -> None:
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
    """Return a list in the discovery format, with the addresses at which this node reaches its servers."""
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
