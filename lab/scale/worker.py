"""The controlling side of a scale run's processes."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

from lab.processes.child import Child, environment
from lab.scale import talk

MAX_LOG_CHARACTERS = 300  # characters of a failed process's log shown in errors


class WorkerDied(Exception):
    """A process of the run has ended or does not answer; the message includes the end of its log."""


class Worker:
    """A child process that answers commands; it ends with this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, module: str, name: str, folder: Path) -> None:
        self.name, self._log = name, folder / f"{name}.log"
        self._socket, child_socket = socket.socketpair()
        descriptor = child_socket.fileno()
        with child_socket:
            command = [sys.executable, "-B", "-m", module, str(descriptor)]
            self.child = Child(loop, command, environment(folder), self._log, (descriptor,))
        self._reader: asyncio.StreamReader | None = None

    async def ask(self, command: talk.Command, within_s: float = 30.0) -> talk.Answer:
        """Send a command and return the answer."""
        if self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                sock=self._socket, limit=talk.MAX_LINE_BYTES
            )
        try:
            async with asyncio.timeout(within_s):
                self._writer.write(talk.encode(command) + b"\n")
                line = await self._reader.readline()
        except (OSError, TimeoutError) as problem:
            raise WorkerDied(
                f"{self.name} did not answer: {type(problem).__name__}{self._log_suffix()}"
            ) from None
        if not line:
            raise WorkerDied(f"{self.name} has ended{self._log_suffix()}")
        return talk.read_answer(line)

    async def look(self, command: talk.Command | None = None, within_s: float = 30.0) -> talk.Seen:
        """Send a command that is answered with the process's state, and return that."""
        answer = await self.ask(command or talk.Look(), within_s)
        assert isinstance(answer, talk.Seen)
        return answer

    def _log_suffix(self) -> str:
        try:
            log_end = self._log.read_text(errors="replace")[-MAX_LOG_CHARACTERS:].strip().replace("\n", " | ")
        except OSError:
            log_end = ""
        return f": {log_end}" if log_end else ""

    def close(self) -> None:
        """Kill the process."""
        self.child.close()
        if self._reader is not None:
            self._writer.close()
        else:
            self._socket.close()
