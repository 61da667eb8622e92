"""The internal listener, which accepts streams from data-plane nodes and other replicas."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from absl import logging

from dunlinloft.controlplane.stream_session import StreamServices, StreamSession
from dunlinloft.coordination.stream import ControlPlaneInbound
from dunlinloft.transport import message_stream
from dunlinloft.transport.tasks import BackgroundTasks

STREAM_IDLE_TIMEOUT_S = 2.0  # nodes and replicas send at least every 0.3 s
LISTEN_BACKLOG = 512  # pending connections; all nodes may reconnect at once

_decoder = msgspec.json.Decoder(ControlPlaneInbound)


class StreamServer:
    """Runs one session per accepted stream, each as a task in `tasks`."""

    def __init__(self, services: StreamServices, tasks: BackgroundTasks) -> None:
        self._services = services
        self._tasks = tasks
        self._stream_numbers = itertools.count(1)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start a session for a new connection."""
        self._tasks.start(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message_stream.configure_socket(writer)
        message_writer = message_stream.MessageWriter(writer)
        session = StreamSession(next(self._stream_numbers), message_writer, self._services)
        try:
            stream_end = await message_stream.read_messages(
                reader, _decoder, session.handle, STREAM_IDLE_TIMEOUT_S
            )
        finally:
            message_writer.abort()
            session.close()
        if stream_end is message_stream.StreamEnd.UNDECODABLE:
            logging.warning("event=refused_line peer=%s", writer.get_extra_info("peername"))


@asynccontextmanager
async def serve_streams(services: StreamServices, host: str, port: int) -> AsyncIterator[None]:
    """Accept streams until the context exits, then abort all of them.

    Raises `OSError` if the listener can't bind the address.
    """
    async with BackgroundTasks() as tasks:
        listener = await asyncio.start_server(
            StreamServer(services, tasks).accept,
            host,
            port,
            limit=message_stream.MAX_FRAME_BYTES,
            backlog=LISTEN_BACKLOG,
        )
        try:
            yield
        finally:
            listener.close()
