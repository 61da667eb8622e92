"""A server as a process of its own: streams whose length it states, because it has made all pieces before.

Arguments: host, port, id, number of events, and the number of events after which it waits (0: it doesn't). It
prints `waiting` when it does, so that it can be killed there. A stream that it continues is a run of its own,
with other words than the first run had.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2.http import Request, read_request

EVENT_S = 0.05


async def main(host: str, port: int, name: str, events: int, wait_after: int) -> None:
    """Serve until killed."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_request(reader)
        done = int(request.headers.get("last-event-id", "0"))
        print(f"runs {request.attempt} after event {done}", flush=True)
        words = b"all is in order" if done == 0 else b"everything is in order"
        pieces = [b"id: %d\ndata: %s\n\n" % (number, words) for number in range(done + 1, events + 1)]
        writer.write(head(name, request, sum(map(len, pieces))))
        for number, piece in enumerate(pieces, done + 1):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if done == 0 and number == wait_after:
                print("waiting", flush=True)
                await asyncio.sleep(3_600.0)
        writer.close()

    listener = await asyncio.start_server(serve, host, port)
    print("listening", flush=True)
    await listener.serve_forever()


def head(name: str, request: Request, length: int) -> bytes:
    """The head of a stream with its length."""
    fields = (
        f"X-Attempt-Id: {request.attempt}",
        f"X-Server-Signature: stamp.{name}",
        "Content-Type: text/event-stream",
        f"Content-Length: {length}",
        "Connection: close",
    )
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(fields) + "\r\n\r\n").encode()


if __name__ == "__main__":
    arguments = sys.argv[1:]
    asyncio.run(main(arguments[0], int(arguments[1]), arguments[2], int(arguments[3]), int(arguments[4])))
