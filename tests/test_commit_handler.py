"""A control plane applies each committed configuration; none ends its process."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinloft.configuration import MAX_NUMBER, to_configuration
from dunlinloft.controlplane.commit_handler import CommitHandler
from dunlinloft.controlplane.node_publisher import NodePublisher
from dunlinloft.controlplane.placement_service import PlacementService
from dunlinloft.controlplane.quota_service import QuotaService
from dunlinloft.coordination.node_registry import NodeRegistry
from dunlinloft.coordination.placement.directory import PlacementDirectory
from dunlinloft.coordination.state import ChainState, ConfigurationChange, Document
from dunlinloft.coordination.stream import PlacementQuery, QuotaRequest, ServerRecord
from dunlinloft.coordination.verdicts import Valid
from dunlinloft.coordination.views import Member, View
from dunlinloft.dataplane.routing import RoutingTable
from dunlinloft.settings import TimingBounds
from dunlinloft.transport.clock import now_ms
from dunlinloft.validation import validate

ADDRESS = "10.0.0.1:7680"
PROMPT = (("shared", 2_000), ("own", 300))


class _LeasedReplica:
    """The only replica of its chain, always in possession of its lease."""

    def __init__(self) -> None:
        member = Member(ADDRESS, "incarnation")
        self.view = View(1, (member,), (member,), 1)

    def lease_expired(self, _: str, __: float) -> bool:
        """Whether the lease of an earlier owner has expired."""
        return True

    def has_lease(self, _: float) -> bool:
        """Whether this replica holds its lease."""
        return True


class _ControlPlane:
    """The parts of a control plane that apply configurations, with one server of the service `pool`."""

    def __init__(self) -> None:
        replica = _LeasedReplica()
        placements = PlacementDirectory(random.Random(1), 3_000.0)
        placements.update_servers([ServerRecord("i-1", "pool", "10.0.0.2:80", "a", 8, "ready", 1)])
        self.placement = PlacementService(placements)
        self.quotas = QuotaService(
            ADDRESS, TimingBounds(), now_ms(), NodeRegistry(), cast(Any, replica), lambda *_: None
        )
        self.quotas.apply_view(replica.view)
        self._commits = CommitHandler(NodePublisher(), self.quotas, self.placement)

    def commit(self, document: Document) -> None:
        """Apply a committed configuration."""
        version = document["version"]
        self._commits.on_commit(ChainState(version, "digest", version, document), None)

    def serve(self) -> str:
        """Place a request and charge it; returns the id of its server."""
        self.quotas.refill()
        self.quotas.grant("node", QuotaRequest(1, "tenant", 10.0, 0.0, 0.0, False))
        return self.placement.choose_server(1, PlacementQuery(1, "pool", PROMPT, 60, ())).server_id


def _document(kv_cache_tokens: object, **tenant: object) -> Document:
    """Return a configuration with one route, service and tenant."""
    return {
        "version": 2,
        "routes": [
            {"name": "r", "hostname": "a", "path_prefix": "/", "timeout_ms": 100, "service": "pool"},
        ],
        "services": [{"name": "pool", "runtime": {"kv_cache_tokens": kv_cache_tokens}}],
        "tenants": [{"name": "tenant", "api_keys": ["k"], **tenant}],
    }


@pytest.mark.parametrize("tokens", [10**309, -(10**309), True, "all", [1], None, 0, 1.5], ids=repr)
def test_a_stored_cache_size_that_is_not_usable_is_ignored(tokens: object) -> None:
    """10**309 in a committed configuration ended the process, and again at each start (review/8)."""
    control_plane = _ControlPlane()
    control_plane.commit(_document(tokens))
    assert control_plane.serve() == "i-1"


def test_a_configuration_that_can_not_be_applied_does_not_end_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is on disk: the process would end again at each start, and the rest of the commit is due too."""
    control_plane = _ControlPlane()

    def fail(_: object) -> None:
        raise OverflowError

    monkeypatch.setattr(control_plane.quotas, "configure", fail)
    control_plane.commit(_document(1_000))
    assert control_plane.placement.choose_server(1, PlacementQuery(1, "pool", PROMPT, 60, ())).server_id
    [load] = control_plane.placement._placements.service("pool")._loads.values()
    assert load.kv_cache_tokens == 1_000, "the other service is still configured"


_bounds = st.sampled_from([0, 1, -1, MAX_NUMBER, -MAX_NUMBER, MAX_NUMBER + 1, 10**309, 1e308, 5e-324, -0.0])
_numbers = _bounds | st.integers() | st.floats() | st.booleans() | st.text(max_size=3)


@given(tokens=_numbers, rate=_numbers, burst=_numbers, uncached=_numbers, connections=_numbers)
def test_an_accepted_configuration_can_be_applied_by_control_planes_and_nodes(
    tokens: object, rate: object, burst: object, uncached: object, connections: object
) -> None:
    """Whatever the validation accepts, the programs can compute with."""
    document = _document(tokens, rate_per_s=rate, burst=burst, uncached_tokens=uncached)
    document["services"][0]["max_connections"] = connections
    if not isinstance(validate({}, ConfigurationChange("replace", 0, "digest", document)), Valid):
        return
    configuration = to_configuration(document)
    control_plane = _ControlPlane()
    control_plane.quotas.configure(configuration)
    control_plane.placement.configure(configuration)
    assert control_plane.serve() == "i-1"
    table = RoutingTable(configuration, random.Random(1))
    route = table.match("a", "/x")
    assert route is not None
    assert route.next_service() == "pool"
