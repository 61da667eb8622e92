"""Hashes the activity of simulations by observing the few methods through which all of it passes.

A hash depends on no name of a class, field, function or module, nor on the type of plain data: dataclasses
and tuples are encoded as the sequence of their values, enumerations as their encoded value, floats by `repr`.
Messages and stored records (msgspec structs) are encoded as their wire bytes, names and tags included, since
those are stable. Sets are encoded in sorted order, dicts in insertion order.

`_observed_methods` alone defines which methods are observed. The simulations do not depend on it; outside
`observing` they run unchanged.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import Any

import msgspec

from dunlinloft.balancer.balancer import Balancer
from dunlinloft.coordination.quota.demand import NotQuotaOwner
from dunlinloft.coordination.quota.owner import QuotaOwner
from lab.control.cluster import Cluster
from lab.control.quota_cluster import QuotaCluster
from lab.virtual import duties, meeting, shared
from lab.virtual.cell_meeting import CellNetwork
from lab.virtual.fleet import Fleet
from lab.virtual.host import VirtualHost
from lab.virtual.node import VirtualNode
from lab.virtual.scene import Simulation
from lab.world import World

DIGEST_BYTES = 8


class Recorder:
    """Hashes observations in order."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.entries = 0

    def add(self, *values: Any) -> None:
        """Add one observation. Raises `TypeError` for a value whose encoding might contain a name."""
        self.entries += 1
        self._hash.update(encoded(values))
        self._hash.update(b"\n")

    def digest(self) -> str:
        """Return the hex digest of the observations so far."""
        return self._hash.hexdigest()


def encoded(value: Any) -> bytes:
    """Encode a value without names of classes or fields, except those on the wire or on disk."""
    if isinstance(value, Enum):
        return encoded(value.value)
    if value is None or isinstance(value, bool | int | float | str | bytes):
        return repr(value).encode()
    if isinstance(value, msgspec.Struct):
        return msgspec.json.encode(value)
    if isinstance(value, Mapping):
        items = (encoded(key) + b":" + encoded(item) for key, item in value.items())
        return b"{" + b",".join(items) + b"}"
    if isinstance(value, set | frozenset):
        return b"<" + b",".join(sorted(encoded(item) for item in value)) + b">"
    if isinstance(value, Sequence):
        return b"(" + b",".join(encoded(item) for item in value) + b")"
    if is_dataclass(value):
        return encoded([getattr(value, field.name) for field in fields(value)])
    raise TypeError(f"no encoding without names for {type(value)}")


# Observed methods.


@dataclass(frozen=True, slots=True)
class ObservedMethod:
    """An observed method; `view(self, arguments, result)` selects what is recorded of a call."""

    owner: type
    method: Callable[..., Any]
    view: Callable[[Any, tuple[Any, ...], Any], tuple[Any, ...]]
    returned: bool = False  # recorded after the call, with its result; otherwise before the call


def _observed_methods() -> tuple[ObservedMethod, ...]:
    """Return all observed methods; must be updated when one of them is renamed or moved."""
    return (
        # Control plane replicas and tenant quotas.
        ObservedMethod(Cluster, Cluster.after, lambda cluster, args, _: (cluster.now, args[0])),
        ObservedMethod(
            Cluster, Cluster._perform, lambda cluster, args, _: (cluster.now, args[0].address, args[1])
        ),
        ObservedMethod(Cluster, Cluster._arrive, lambda cluster, args, _: (cluster.now, *args)),
        ObservedMethod(
            QuotaCluster,
            QuotaCluster._record_spent,
            lambda world, args, _: (world.now, args[0].name, args[1]),
        ),
        ObservedMethod(
            QuotaOwner,
            QuotaOwner.handle_request,
            lambda owner, args, decision: (*args, None if decision == NotQuotaOwner() else decision),
            returned=True,
        ),
        # Scenarios with nodes, servers and callers.
        ObservedMethod(VirtualHost, VirtualHost.after, lambda host, args, _: (host.now(), args[0])),
        ObservedMethod(World, World.tell, lambda host, args, _: (_values(args[0]),)),
        ObservedMethod(VirtualNode, VirtualNode.act, lambda node, args, _: (node.name, args[0])),
        # Fleet membership.
        ObservedMethod(Fleet, Fleet.after, lambda fleet, args, _: (fleet.now(), args[0])),
        ObservedMethod(
            meeting.MembershipNetwork,
            meeting.MembershipNetwork.do,
            lambda fleet, args, _: (fleet.now(), args[0].name, args[1]),
        ),
        ObservedMethod(
            meeting.MembershipNetwork,
            meeting.MembershipNetwork.deliver,
            lambda fleet, args, _: (fleet.now(), *args),
        ),
        ObservedMethod(CellNetwork, CellNetwork.arrive, lambda fleet, args, _: (fleet.now(), *args)),
        ObservedMethod(
            CellNetwork,
            CellNetwork.perform_directory_actions,
            lambda fleet, args, _: (fleet.now(), args[0].name, args[1]),
        ),
        # Leader leases, the ledger and shared state.
        ObservedMethod(Simulation, Simulation.after, lambda scene, args, _: (scene.now, args[0])),
        ObservedMethod(
            duties.World, duties.World.do, lambda world, args, _: (world.now, args[0].name, args[1])
        ),
        ObservedMethod(duties.World, duties.World.deliver, lambda world, args, _: (world.now, *args)),
        ObservedMethod(
            shared.World, shared.World.do, lambda world, args, _: (world.now, args[0].name, args[1])
        ),
        ObservedMethod(shared.World, shared.World.deliver, lambda world, args, _: (world.now, *args)),
        ObservedMethod(
            shared.World, shared.World.ask, lambda world, args, place: (*args, place), returned=True
        ),
        # The decision module in any of the simulations.
        ObservedMethod(
            Balancer,
            Balancer.handle,
            lambda _, args, actions: (args[1], args[0], actions),
            returned=True,
        ),
    )


def _values(record: msgspec.Struct) -> list[Any]:
    """Return the field values of a lab record without its tag, which is the name of its class."""
    return [getattr(record, name) for name in record.__struct_fields__]


@contextmanager
def observing(recorder: Recorder) -> Iterator[None]:
    """Record the calls of all observed methods in this process; restores the methods at the end."""
    with ExitStack() as stack:
        for observed in _observed_methods():
            name = observed.method.__name__
            stack.callback(setattr, observed.owner, name, observed.owner.__dict__[name])
            setattr(observed.owner, name, _recording(observed, recorder))
        yield


def _recording(observed: ObservedMethod, recorder: Recorder) -> Callable[..., Any]:
    @functools.wraps(observed.method)
    def call(self: Any, *args: Any, **options: Any) -> Any:
        if not observed.returned:
            recorder.add(*observed.view(self, args, None))
        result = observed.method(self, *args, **options)
        if observed.returned:
            recorder.add(*observed.view(self, args, result))
        return result

    return call
