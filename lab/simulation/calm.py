"""Which machines are in touch: undisturbed for the contact window, as is the core of the control plane.

Rules that are bounded in time hold only for machines in touch. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

CONTACT_WINDOW_S = 3.0  # `contact_window_ms`


class DisturbanceTracker:
    """Remembers when each host was last disturbed.

    Parameters
    ----------
    now_s:
        Returns the time.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._disturbed_s: dict[str, float] = {}
        self._core_disturbed_s = 0.0

    def disturb(self, host: str, in_core: bool) -> None:
        """Note that something befell a host now, or ended there."""
        self._disturbed_s[host] = self._now_s()
        if in_core:
            self._core_disturbed_s = self._now_s()

    def disturb_all(self, hosts: Iterable[str]) -> None:
        """Note that something befell these hosts and the core."""
        for host in hosts:
            self.disturb(host, in_core=True)

    def last_disturbed_s(self, host: str) -> float:
        """Return when something last befell a host or the core."""
        return max(self._disturbed_s.get(host, 0.0), self._core_disturbed_s)

    def undisturbed(self, host: str) -> bool:
        """Return whether nothing befell a host or the core within the contact window."""
        return self._now_s() - self.last_disturbed_s(host) >= CONTACT_WINDOW_S
