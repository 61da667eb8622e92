"""Streams to data-plane nodes: configurations with acknowledgements, servers, and the replicas."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.messages import ChainState, Entry
from dunlinloft.coordination.stream import (
    Delta,
    Replicas,
    ServerNews,
    Servers,
    ServersComplete,
    Version,
    Whole,
)
from dunlinloft.transport import lines


@dataclass(slots=True, eq=False)
class NodeStream:
    """One subscribed node."""

    node: str
    writer: lines.LineWriter
    sent: int  # the version last sent
    held: int  # the version last acknowledged
    wants_configurations: bool  # else versions alone


class Distribution:
    """All subscribed nodes, and what they have to know."""

    def __init__(self) -> None:
        self.streams: set[NodeStream] = set()
        self._state = ChainState()
        self._lines: dict[int, bytes] = {}  # by the version they build on; 0: the whole
        self._update: Entry | None = None
        self._replicas: Replicas | None = None

    def subscribe(self, stream: NodeStream, servers: Servers) -> None:
        """A node subscribed: tell it what it doesn't know."""
        self.streams.add(stream)
        if self._replicas is not None:
            stream.writer.send(self._replicas)
        stream.writer.send(servers)
        if stream.wants_configurations:
            self._send_state(stream)
        elif self._state.version:
            stream.writer.send(Version(self._state.version))

    def end(self, stream: NodeStream) -> None:
        """A node's stream ended."""
        self.streams.discard(stream)

    def committed(self, state: ChainState, entry: Entry | None) -> None:
        """A state was committed; `entry` is what made it of the one before, where that is known."""
        if state.sequence <= self._state.sequence:
            return
        self._state = state
        self._lines = {}
        self._update = entry if entry is not None and entry.order.kind == "update" else None
        notice = lines.encoded(Version(state.version))
        for stream in self.streams:
            if stream.wants_configurations:
                self._send_state(stream)
            else:
                stream.writer.send_line(notice)

    def fetch(self, stream: NodeStream, held: int) -> None:
        """A node lacks a version that it was told of."""
        stream.sent = held
        self._send_state(stream)

    def _send_state(self, stream: NodeStream) -> None:
        if not self._state.version or stream.sent >= self._state.version:
            return
        base = 0
        if self._update is not None and self._update.order.base == stream.sent:
            base = stream.sent
        line = self._lines.get(base)
        if line is None:
            line = self._lines[base] = lines.encoded(self._message(base))
        stream.sent = self._state.version
        stream.writer.send_line(line)

    def _message(self, base: int) -> Delta | Whole:
        if base and self._update is not None:
            return Delta(base, self._state.version, self._update.order.body)
        return Whole(self._state.version, self._state.document)

    def server_news(self, news: ServerNews) -> None:
        """Tell all of servers that came, changed or went."""
        if news.changed or news.gone:
            self.to_all(lines.encoded(news))

    def set_replicas(self, replicas: Replicas) -> None:
        """Tell all how the control plane is now."""
        if replicas != self._replicas:
            self._replicas = replicas
            self.to_all(lines.encoded(replicas))

    def servers_complete(self) -> None:
        """Tell all that every server has had time to be heard."""
        self.to_all(lines.encoded(ServersComplete()))

    def to_all(self, line: bytes) -> None:
        """Send one line to every node."""
        for stream in self.streams:
            stream.writer.send_line(line)
