"""The base of simulated machines: terminates, suspends and resumes the machine's process."""

from __future__ import annotations

import signal
from abc import ABC, abstractmethod

from lab.simulation.event_loop import SimulatedEventLoop
from lab.simulation.process import SimulatedProcess


class SimulatedHost(ABC):
    """A machine that runs at most one process at a time.

    Attributes
    ----------
    host
        The machine's address.
    process
        The running process; None while there is none.
    """

    def __init__(self, host: str, loop: SimulatedEventLoop) -> None:
        self.host = host
        self.process: SimulatedProcess | None = None
        self._loop = loop

    @abstractmethod
    def _report_change(self) -> None:
        """Notify the cluster that the process was started, ended, suspended or resumed."""

    def terminate(self) -> None:
        """Send SIGTERM."""
        process = self.process
        if process is not None and signal.SIGTERM in process.signal_handlers:
            self._loop.call_in(process, process.signal_handlers[signal.SIGTERM])
            self._report_change()

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP)."""
        if self.process is not None:
            self.process.frozen = True
            self._report_change()

    def thaw(self) -> None:
        """Resume the process (SIGCONT)."""
        if self.process is not None and self.process.frozen:
            self._loop.thaw(self.process)
            self._report_change()
