"""A server as a process of its own: one stream with no length on each connection, which ends with it.

Arguments: host, port, id, number of events, and the event in whose middle it waits (0: none). It prints
`waiting` when it does, so that it can be killed there. It doesn't wait in a stream that it continues.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2.http import Request, read_request

EVENT_S = 0.05


async def main(host: str, port: int, name: str, events: int, wait_in: int) -> None:
    """Serve until killed."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_request(reader)
        print(f"runs {request.attempt}", flush=True)
        writer.write(head(name, request))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, events + 1):
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, events)
            if number == wait_in and first == 1:
                writer.write(event[: len(event) // 2])
                await writer.drain()
                await asyncio.sleep(EVENT_S)
                print("waiting", flush=True)
                await asyncio.sleep(3_600.0)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.close()

    listener = await asyncio.start_server(serve, host, port)
    print("listening", flush=True)
    await listener.serve_forever()


def head(name: str, request: Request) -> bytes:
    """The head of a stream that has no length and isn't chunked, so that it ends with the connection."""
    fields = (
        f"X-Attempt-Id: {request.attempt}",
        f"X-Server-Signature: stamp.{name}",
        "Content-Type: text/event-stream",
        "Connection: close",
    )
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(fields) + "\r\n\r\n").encode()


if __name__ == "__main__":
    arguments = sys.argv[1:]
    asyncio.run(main(arguments[0], int(arguments[1]), arguments[2], int(arguments[3]), int(arguments[4])))
