"""The target size of the design, with member names and addresses of such a fleet."""

from __future__ import annotations

from typing import Any

from dunlinloft.fleet.messages import ALIVE, Record
from lab.plan import Plan
from lab.scenario import Scenario, Tenant
from lab.settings import settings as settings_of

SERVERS, SERVICES, REGIONS, ZONES = 26_000, 820, 5, 15
CALLS_S, DEEP = 9_500_000.0, 27
NODE_CALLS_S = CALLS_S / SERVERS  # 365
CHANGES_DAY, FAILED_DAY, RESTARTED_DAY = 40_000, 150, 2_000
CONTROL = 54
NODE_CPU, NODE_MB, NODE_BYTES_S = (
    0.018,
    32.0,
    7_000.0,
)  # control budget per node: share of a core, MB, bytes per second
LIFE = 1_700_000_000_000


def name(n: int) -> str:
    """Return a member's name: its service and its number within the service."""
    return f"service-{n % SERVICES:03}-{n // SERVICES:04}"


def address(n: int) -> str:
    """Return a member's address."""
    return f"127.{16 + (n >> 16)}.{n >> 8 & 255}.{n & 255}:7400"


def record(n: int) -> Record:
    """Return a node's own membership record, as `dunlinloft.node.fleet.peers` creates it."""
    metadata: dict[str, Any] = {
        "zone": f"zone-{n % ZONES:02}", "tier": 0.0, "program": "0.1.0", "number": float(n), "load": 8.0,
        "draining": False,
    }  # fmt: skip
    return Record(name(n), LIFE + n, 0, ALIVE, (LIFE + n) << 16, address(n), 1, metadata)


def node_settings(nodes: int, tenants: bool = False) -> dict[str, Any]:
    """Return a node's `settings`, as in the lab's scenarios."""
    scenario = Scenario("capacity")
    scenario.nodes.count = 1
    scenario.nodes.fleet = True
    if tenants:
        scenario.tenants = [Tenant("spedition", 0.6, 160.0), Tenant("reederei", 0.4)]
    base_settings = settings_of(Plan(scenario, 1), "n1")
    return base_settings | {"siblings": nodes, "my_number": 0}
