"""Child processes: starting, signals, and resource usage as reported by the kernel."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import dunlinloft.node

ROOT = Path(dunlinloft.node.__file__).parent.parent.parent
SIGNALS = {
    "kill": signal.SIGKILL,
    "term": signal.SIGTERM,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
    "hup": signal.SIGHUP,
}
_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)
_PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
_TICKS = os.sysconf("SC_CLK_TCK")


def _die_with_parent() -> None:
    # Kill the child when the lab ends, however that happens.
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A process started by the lab; `ended` is called with its exit status."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        command: list[str],
        environment: dict[str, str],
        log: Path,
        inherited_fds: tuple[int, ...],
        ended: Callable[[Child, int], None] = lambda child, code: None,
    ) -> None:
        self._loop, self._ended = loop, ended
        with log.open("ab") as errors:
            self._process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=errors, stderr=errors, cwd=ROOT, env=environment,
                pass_fds=inherited_fds, start_new_session=True, preexec_fn=_die_with_parent,
            )  # fmt: skip
        self.pid = self._process.pid
        self._waited_ns = 0
        self._pidfd = os.pidfd_open(self.pid)
        loop.add_reader(self._pidfd, self._on_exit)

    def _on_exit(self) -> None:
        self._loop.remove_reader(self._pidfd)
        os.close(self._pidfd)
        self._pidfd = -1
        self._ended(self, self._process.wait())

    def alive(self) -> bool:
        """Return whether the process is running."""
        return self._pidfd >= 0

    def signal(self, what: str) -> None:
        """Send one of `SIGNALS`."""
        if self.alive():
            self._process.send_signal(SIGNALS[what])

    def waited_ms(self) -> float:
        """Return the time spent waiting for a core since the previous call."""
        try:
            waited = int(Path(f"/proc/{self.pid}/schedstat").read_bytes().split()[1])
        except (OSError, IndexError, ValueError):
            return 0.0
        passed, self._waited_ns = waited - self._waited_ns, waited
        return passed / 1e6

    def usage(self) -> dict[str, float]:
        """Return the memory usage and the CPU time consumed."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_bytes().split()[1])
            stat = Path(f"/proc/{self.pid}/stat").read_bytes().rsplit(b")", 1)[1].split()
        except (OSError, IndexError, ValueError):
            return {}
        return {"memory_mb": pages * _PAGE_MB, "cpu_s": (int(stat[11]) + int(stat[12])) / _TICKS}

    def close(self) -> None:
        """Kill the process and wait for it."""
        if self.alive():
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        self._process.wait()


def node_command() -> list[str]:
    """Return the command that starts a node."""
    return [sys.executable, "-B", "-m", "dunlinloft.node"]


def hog_command(for_s: float) -> list[str]:
    """Return the command of a process that keeps a core busy for `for_s` seconds."""
    return [
        sys.executable,
        "-c",
        f"import time\nend = time.monotonic() + {for_s}\nwhile time.monotonic() < end: pass",
    ]


def environment(folder: Path, **extra: str) -> dict[str, str]:
    """Return a child's environment."""
    inherited = {name: os.environ[name] for name in ("PATH", "LANG", "LC_ALL") if name in os.environ}
    return inherited | {"TMPDIR": str(folder), "PYTHONHASHSEED": "0"} | extra
