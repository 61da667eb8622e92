"""Plain HTTP/1.1 for the stand-ins: one request on a connection of its own, and what came back."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field


@dataclass
class Answer:
    """An answer as a client sees it."""

    status: int = 0  # 0: no whole head came
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    complete: bool = False  # whether the body came to its end as the framing says
    error: str = ""


@dataclass
class Request:
    """A request as a server sees it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The id of the client's try."""
        return self.headers.get("x-attempt-id", "")


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a request; a body gets its length."""
    fields = dict(headers)
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers. Raises `asyncio.IncompleteReadError` and `OSError`."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader, into: bytearray) -> None:
    """Read a chunked body up to its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            into += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a whole request."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = bytearray()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, body)
    elif "content-length" in headers:
        body += await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, bytes(body))


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer into `answer`, which keeps what came if the connection breaks."""
    body = bytearray()
    try:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            await read_chunks(reader, body)
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(body) < length:
                part = await reader.read(length - len(body))
                if not part:
                    raise ConnectionError("closed before the end of the body")
                body += part
        else:
            while part := await reader.read(65_536):
                body += part
        answer.complete = True
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        answer.body = bytes(body)


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    fields = {"Host": "h.example", **(headers or {})}
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, target, fields, body))
            await read_answer(reader, answer)
    except (TimeoutError, OSError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
    return answer
