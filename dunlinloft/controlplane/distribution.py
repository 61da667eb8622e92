"""Streams to data-plane nodes: configurations with acknowledgements, servers, and the replicas."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinloft.coordination.messages import ChainState, Entry
from dunlinloft.coordination.stream import (
    ConfigurationId,
    Delta,
    Replicas,
    ServerNews,
    Servers,
    ServersComplete,
    Version,
    Whole,
)
from dunlinloft.transport import message_stream


@dataclass(slots=True, eq=False)
class NodeStream:
    """One subscribed node."""

    node: str
    writer: message_stream.MessageWriter
    sent: ConfigurationId  # last sent
    held: ConfigurationId  # last acknowledged
    wants_configurations: bool  # else versions alone


class Distribution:
    """All subscribed nodes, and what they have to know."""

    def __init__(self) -> None:
        self.streams: set[NodeStream] = set()
        self._state = ChainState()
        self._id = ConfigurationId()
        self._base = ConfigurationId()  # what `_update` changed
        self._update: Entry | None = None
        self._confirmed = False
        self._lines: dict[bool, bytes] = {}  # of the state: as a change of `_base`, or whole
        self._replicas: Replicas | None = None

    def subscribe(self, stream: NodeStream, servers: Servers) -> None:
        """A node subscribed: tell it what it doesn't know."""
        self.streams.add(stream)
        if self._replicas is not None:
            stream.writer.send(self._replicas)
        stream.writer.send(servers)
        if stream.wants_configurations:
            self._send_state(stream)
        elif self._id.version:
            stream.writer.send(Version(self._id))

    def end(self, stream: NodeStream) -> None:
        """A node's stream ended."""
        self.streams.discard(stream)

    def committed(self, state: ChainState, entry: Entry | None) -> None:
        """A state was committed; `entry` is what made it of the one before, where that is known."""
        if state.sequence <= self._state.sequence:
            return
        follows = state.sequence == self._state.sequence + 1
        is_update = entry is not None and entry.order.kind == "update" and follows
        self._update = entry if is_update else None
        self._base = self._id
        self._state = state
        self._id = ConfigurationId(state.version, state.chain_digest)
        self._lines = {}
        self._tell_state()

    def set_confirmed(self, confirmed: bool) -> None:
        """Whether a majority confirms what is held here: told to nodes that wait for one that is."""
        if confirmed == self._confirmed:
            return
        self._confirmed = confirmed
        self._lines = {}
        if confirmed and self._id.version:
            for stream in self.streams:
                if stream.wants_configurations and stream.held != self._id:
                    stream.sent = stream.held
            self._tell_state()

    def _tell_state(self) -> None:
        notice = message_stream.encode_frame(Version(self._id))
        for stream in self.streams:
            if stream.wants_configurations:
                self._send_state(stream)
            else:
                stream.writer.send_frame(notice)

    def fetch(self, stream: NodeStream, held: ConfigurationId) -> None:
        """A node lacks a configuration that it was told of."""
        stream.sent = held
        self._send_state(stream)

    def _send_state(self, stream: NodeStream) -> None:
        if not self._id.version or not self._id.replaces(stream.sent, self._confirmed):
            return
        as_change = self._update is not None and self._base == stream.sent
        line = self._lines.get(as_change)
        if line is None:
            line = self._lines[as_change] = message_stream.encode_frame(self._message(as_change))
        stream.sent = self._id
        stream.writer.send_frame(line)

    def _message(self, as_change: bool) -> Delta | Whole:
        if as_change and self._update is not None:
            return Delta(self._base, self._id, self._confirmed, self._update.order.body)
        return Whole(self._id, self._confirmed, self._state.document)

    def server_news(self, news: ServerNews) -> None:
        """Tell all of servers that came, changed or went."""
        if news.changed or news.gone:
            self.to_all(message_stream.encode_frame(news))

    def set_replicas(self, replicas: Replicas) -> None:
        """Tell all how the control plane is now."""
        if replicas != self._replicas:
            self._replicas = replicas
            self.to_all(message_stream.encode_frame(replicas))

    def servers_complete(self) -> None:
        """Tell all that every server has had time to be heard."""
        self.to_all(message_stream.encode_frame(ServersComplete()))

    def to_all(self, line: bytes) -> None:
        """Send one line to every node."""
        for stream in self.streams:
            stream.writer.send_frame(line)
