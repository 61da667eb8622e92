"""A process of a scale run, as seen from the run."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

from lab.processes.child import Child, environment
from lab.scale import talk

MOST_LOG = 300  # characters of a dead process's last words


class WorkerDied(Exception):
    """A process of the run has ended or fallen silent; the text says which, and its last words."""


class Worker:
    """A child that answers commands; it dies with this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, module: str, name: str, folder: Path) -> None:
        self.name, self._log = name, folder / f"{name}.log"
        self._ours, theirs = socket.socketpair()
        number = theirs.fileno()
        with theirs:
            command = [sys.executable, "-B", "-m", module, str(number)]
            self.child = Child(loop, command, environment(folder), self._log, (number,))
        self._reader: asyncio.StreamReader | None = None

    async def ask(self, command: talk.Command, within_s: float = 30.0) -> talk.Answer:
        """Have it do something; what it answers."""
        if self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(sock=self._ours, limit=talk.MOST_LINE)
        try:
            async with asyncio.timeout(within_s):
                self._writer.write(talk.encode(command) + b"\n")
                line = await self._reader.readline()
        except (OSError, TimeoutError) as problem:
            raise WorkerDied(f"{self.name} did not answer: {type(problem).__name__}{self._words()}") from None
        if not line:
            raise WorkerDied(f"{self.name} has ended{self._words()}")
        return talk.read_answer(line)

    async def look(self, command: talk.Command | None = None, within_s: float = 30.0) -> talk.Seen:
        """Have it do something and say how it is."""
        answer = await self.ask(command or talk.Look(), within_s)
        assert isinstance(answer, talk.Seen)
        return answer

    def _words(self) -> str:
        try:
            words = self._log.read_text(errors="replace")[-MOST_LOG:].strip().replace("\n", " | ")
        except OSError:
            words = ""
        return f": {words}" if words else ""

    def close(self) -> None:
        """End it."""
        self.child.close()
        if self._reader is not None:
            self._writer.close()
        else:
            self._ours.close()
