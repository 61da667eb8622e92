"""A process's settings: the TOML file that DUNLINLOFT_CONFIG names, read and checked."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from msgspec import Struct

from dunlinloft.coordination.quotas import QuotaBounds

VARIABLE = "DUNLINLOFT_CONFIG"
CONTROL_PORT = 0  # place in the internal port range


class SettingsError(Exception):
    """Settings that can't be used; the text says where and what was expected."""


class Listeners(Struct, frozen=True):
    """Addresses to listen on, host:port."""

    frontend: str | None = None
    readiness: str | None = None
    control_plane: str | None = None


class ProcessLimits(Struct, frozen=True):
    """What the machine gives the process."""

    memory_mb: int = 256
    max_open_files: int = 1_024
    disk_mb: int = 0


class FaultTolerance(Struct, frozen=True):
    """What may be lost at once."""

    hosts_lost: int = 0


class TimingBounds(Struct, frozen=True):
    """The deployment's bounds: milliseconds and seconds as named."""

    grace_period_s: float = 8.0
    drain_timeout_ms: float = 2_000.0
    config_propagation_ms: float = 2_000.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 60.0
    quota_interval_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_tolerance: float = 0.0
    again_s: float = 3.0

    def quota_bounds(self) -> QuotaBounds:
        """The figures of the rule on tenants' quotas."""
        return QuotaBounds(self.quota_interval_s, self.quota_overshoot, self.quota_tolerance)


class Settings(Struct, frozen=True):
    """The settings of one process; fields that aren't named here are ignored: the platform may add some."""

    node_name: str
    ip_address: str
    internal_port_range: tuple[int, int]
    role: str = ""
    zone: str = ""
    region: str = ""
    seed_nodes: tuple[str, ...] = ()
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_directory: str = ""
    heartbeat_interval_ms: float = 1_200.0
    listeners_config: Listeners = Listeners()
    limits: ProcessLimits = ProcessLimits()
    fault_tolerance: FaultTolerance = FaultTolerance()
    timing_bounds: TimingBounds = TimingBounds()
    path: str | None = None  # where it was read from

    def control_address(self, host: str) -> str:
        """Where the control plane on a host listens for nodes and replicas."""
        return f"{host}:{self.internal_port_range[0] + CONTROL_PORT}"

    def seeds(self) -> tuple[str, ...]:
        """The control planes named by the seeds, where they listen for nodes and replicas."""
        return tuple(self.control_address(seed.rsplit(":", 1)[0]) for seed in self.seed_nodes)


def read_settings(path: str) -> Settings:
    """The settings in a file. Raises `SettingsError`."""
    try:
        with Path(path).open("rb") as file:
            return msgspec.convert({**tomllib.load(file), "path": path}, Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from None


def host_port(address: str) -> tuple[str, int]:
    """The parts of host:port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
