"""Hashes what simulated worlds do, by watching the few methods that all of it passes through.

A hash depends on no name of a class, field, function or module, nor on the shape of plain data: dataclasses
and tuples count as the sequence of their values, enumerations as their encoded value, floats by `repr`.
Messages and stored records (msgspec structs) count as their encoded bytes, names and tags included, since
those stay. Sets count in sorted order, dicts in their own.

`_taps` is the one place that says which methods are watched. The worlds know nothing of it; outside
`observing` they run as ever.
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
from lab.virtual.cell_meeting import CellMeeting
from lab.virtual.fleet import Fleet
from lab.virtual.host import VirtualHost
from lab.virtual.node import VirtualNode
from lab.virtual.scene import Scene
from lab.world import World

DIGEST_BYTES = 8


class Recorder:
    """Hashes what is seen, in order."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.entries = 0

    def add(self, *values: Any) -> None:
        """Take one observation. Raises `TypeError` for a value whose encoding might hold a name."""
        self.entries += 1
        self._hash.update(encoded(values))
        self._hash.update(b"\n")

    def digest(self) -> str:
        """What was seen so far, in short hex."""
        return self._hash.hexdigest()


def encoded(value: Any) -> bytes:
    """A value as bytes that hold no name of a class or field but those on the wire or on disk."""
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


# What is observed.


@dataclass(frozen=True, slots=True)
class Tap:
    """A method that is watched, and what is recorded of a call: `view(self, arguments, result)`."""

    owner: type
    method: Callable[..., Any]
    view: Callable[[Any, tuple[Any, ...], Any], tuple[Any, ...]]
    returned: bool = False  # recorded once the call is over, with its result; else before it


def _taps() -> tuple[Tap, ...]:
    """All that is watched. Whoever renames or moves one of these methods follows here."""
    return (
        # The control plane's replicas, and tenants' quotas.
        Tap(Cluster, Cluster.after, lambda cluster, args, _: (cluster.now, args[0])),
        Tap(Cluster, Cluster._perform, lambda cluster, args, _: (cluster.now, args[0].address, args[1])),
        Tap(Cluster, Cluster._arrive, lambda cluster, args, _: (cluster.now, *args)),
        Tap(
            QuotaCluster,
            QuotaCluster._record_spent,
            lambda world, args, _: (world.now, args[0].name, args[1]),
        ),
        Tap(
            QuotaOwner,
            QuotaOwner.handle_request,
            lambda owner, args, decision: (*args, None if decision == NotQuotaOwner() else decision),
            returned=True,
        ),
        # Days of nodes, servers and callers.
        Tap(VirtualHost, VirtualHost.after, lambda host, args, _: (host.now(), args[0])),
        Tap(World, World.tell, lambda host, args, _: (_values(args[0]),)),
        Tap(VirtualNode, VirtualNode.act, lambda node, args, _: (node.name, args[0])),
        # Members of a fleet.
        Tap(Fleet, Fleet.after, lambda fleet, args, _: (fleet.now(), args[0])),
        Tap(
            meeting.Meeting,
            meeting.Meeting.do,
            lambda fleet, args, _: (fleet.now(), args[0].name, args[1]),
        ),
        Tap(
            meeting.Meeting,
            meeting.Meeting.deliver,
            lambda fleet, args, _: (fleet.now(), *args),
        ),
        Tap(CellMeeting, CellMeeting.arrive, lambda fleet, args, _: (fleet.now(), *args)),
        Tap(CellMeeting, CellMeeting.guided, lambda fleet, args, _: (fleet.now(), args[0].name, args[1])),
        # Leader leases and the ledger; shared state.
        Tap(Scene, Scene.after, lambda scene, args, _: (scene.now, args[0])),
        Tap(duties.World, duties.World.do, lambda world, args, _: (world.now, args[0].name, args[1])),
        Tap(duties.World, duties.World.deliver, lambda world, args, _: (world.now, *args)),
        Tap(shared.World, shared.World.do, lambda world, args, _: (world.now, args[0].name, args[1])),
        Tap(shared.World, shared.World.deliver, lambda world, args, _: (world.now, *args)),
        Tap(shared.World, shared.World.ask, lambda world, args, place: (*args, place), returned=True),
        # The decision module, wherever it runs.
        Tap(
            Balancer,
            Balancer.handle,
            lambda _, args, actions: (args[1], args[0], actions),
            returned=True,
        ),
    )


def _values(record: msgspec.Struct) -> list[Any]:
    """The values of the simulator's own log records, whose tags are names of classes."""
    return [getattr(record, name) for name in record.__struct_fields__]


@contextmanager
def observing(recorder: Recorder) -> Iterator[None]:
    """Record the calls of all tapped methods in this process, and put the methods back in the end."""
    with ExitStack() as stack:
        for tap in _taps():
            name = tap.method.__name__
            stack.callback(setattr, tap.owner, name, tap.owner.__dict__[name])
            setattr(tap.owner, name, _watched(tap, recorder))
        yield


def _watched(tap: Tap, recorder: Recorder) -> Callable[..., Any]:
    @functools.wraps(tap.method)
    def call(self: Any, *args: Any, **options: Any) -> Any:
        if not tap.returned:
            recorder.add(*tap.view(self, args, None))
        result = tap.method(self, *args, **options)
        if tap.returned:
            recorder.add(*tap.view(self, args, result))
        return result

    return call
