"""A process's settings: the TOML file that DUNLINLOFT_CONFIG names, decoded and checked.

Both programs read it at startup. `dunlinloft.transport.program` and the programs may import this module,
which imports none of them. Field names are the keys of the file unless `rename` maps them.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from msgspec import Struct

from dunlinloft.exceptions import SettingsError

SETTINGS_VARIABLE = "DUNLINLOFT_CONFIG"  # the environment variable that names the settings file
CONTROL_PORT_OFFSET = 0  # control plane listener, relative to the start of the internal port range


class Listeners(Struct, frozen=True):
    """Addresses to listen on, as host:port; None if the process has no such listener."""

    frontend: str | None = None
    readiness: str | None = None
    control_plane: str | None = None


class ProcessLimits(Struct, frozen=True):
    """Resources that the machine grants to the process."""

    memory_mb: int = 256
    max_open_files: int = 1_024
    disk_mb: int = 0


class FaultTolerance(Struct, frozen=True):
    """Simultaneous failures that the deployment must survive."""

    hosts_lost: int = 0


class TimingBounds(Struct, frozen=True, rename={"prefix_reuse_s": "again_s"}):
    """The deployment's bounds on timeouts, retries and quotas."""

    grace_period_s: float = 8.0
    drain_timeout_ms: float = 2_000.0
    config_propagation_ms: float = 2_000.0
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 60.0
    quota_interval_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_tolerance: float = 0.0
    # How long after its last use a prompt prefix counts as cached, so that its server is preferred.
    prefix_reuse_s: float = 3.0


class Settings(Struct, frozen=True):
    """The settings of one process. Unknown keys are ignored because the platform may add some."""

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
    path: str | None = None  # of the file that the settings were read from

    def control_address(self, host: str) -> str:
        """Return the host:port at which a control plane on `host` listens for nodes and replicas."""
        return f"{host}:{self.internal_port_range[0] + CONTROL_PORT_OFFSET}"

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the host:port of each seed node's control plane, for nodes and replicas."""
        return tuple(self.control_address(seed.rsplit(":", 1)[0]) for seed in self.seed_nodes)


def read_settings(path: str) -> Settings:
    """Read and check a settings file. Raises `SettingsError`."""
    try:
        with Path(path).open("rb") as file:
            return msgspec.convert({**tomllib.load(file), "path": path}, Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from None


def split_host_port(address: str) -> tuple[str, int]:
    """Split `host:port` into the host and the port number."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
