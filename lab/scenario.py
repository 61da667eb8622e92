"""Typed scenario files: servers and nodes, traffic, faults and expected results.

Keys that end with `_s` are in seconds, those with `_ms` in milliseconds. A `Span` is a single value, or a
range from which each seed draws a value. Unknown keys are rejected with a hint at the closest known key.
"""

from __future__ import annotations

import difflib
import math
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Positive = Annotated[float, Meta(gt=0.0)]
NotNegative = Annotated[float, Meta(ge=0.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1)]
Span = NotNegative | Annotated[list[NotNegative], Meta(min_length=2, max_length=2)]

SHIPPED_SCENARIOS = Path(__file__).parent / "scenarios"


class ScenarioError(Exception):
    """A scenario file is invalid; the message names the place and what was expected."""


class Day(Struct, forbid_unknown_fields=True):
    """Duration of the arrivals, and how long to wait for the last requests."""

    length_s: Positive = 20.0
    after_s: Positive = 7.0


class Network(Struct, forbid_unknown_fields=True):
    """Round-trip times within a zone and between zones, and their jitter."""

    zones: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["linz", "wien", "krems"]
    )
    same_ms: Span = msgspec.field(default_factory=lambda: [0.13, 0.3])
    cross_ms: Span = msgspec.field(default_factory=lambda: [7.0, 13.0])
    jitter: Share = 0.1


class Nodes(Struct, forbid_unknown_fields=True):
    """The front nodes, distributed round-robin over the zones, and the resource limits of each process."""

    count: Count = 3
    memory_mb: Positive = 96.0
    sockets: Annotated[int, Meta(ge=64)] = 512
    fleet: bool = False  # whether the nodes form one fleet
    share: list[Literal["verdicts", "limits", "affinity", "releases"]] = []  # state shared by fleet members
    cpu_ms: NotNegative = 0.5  # core time per request of virtual nodes; real nodes ignore it


class Tier(Struct, forbid_unknown_fields=True):
    """The servers of one tier. If there is a next tier, each server has its own node to call it through."""

    name: str = "slot-front"
    servers: Count = 12
    cores: Positive = 2.0
    speed: Span = msgspec.field(default_factory=lambda: [0.85, 1.1])
    work: NotNegative = 0.44  # share of a request's work done in this tier
    slots_per_core: Positive = 16.0
    queue_per_core: NotNegative = 20.0
    thrash: NotNegative = 0.15  # slowdown per multiple of `thrash_at` above it
    thrash_at: Positive = 20.0  # requests per core
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.45
    cold_s: NotNegative = 6.0
    choke_at: NotNegative = 0.0  # requests per core that, held for `choke_over_s`, slow it down; 0: never
    choke_over_s: Positive = 2.0
    choke_slower: Annotated[float, Meta(ge=1.0)] = 3.0
    choke_rest_s: Positive = 3.0
    error_rate: Share = 0.001
    pause_every_s: NotNegative = 0.0  # 0: never
    pause_ms: NotNegative = 0.0
    connections: Count = 1200
    handshake_rtts: NotNegative = 1.0
    handshake_ms: NotNegative = 3.0  # work per handshake
    cell_size: Count = 8
    calls: NotNegative = 0.0  # mean number of calls to the next tier per request
    cancels: Literal["queued", "all"] = "all"
    report_delay_ms: NotNegative = 60.0
    report_noise: Share = 0.08
    reports: bool = True


class Class(Struct, forbid_unknown_fields=True):
    """A request class; `work_ms` is the lognormal work over all tiers, on one core at speed 1."""

    name: str
    share: Positive
    work_ms: Span
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"]
    cv: NotNegative = 1.2
    noise: Share = 0.2  # variation between attempts of one request
    worth: Positive = 1.0
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "zone"
    window_ms: Positive = 10_000.0


class Tenant(Struct, forbid_unknown_fields=True):
    """A tenant: its share of the requests, and its quota over all nodes."""

    name: str
    share: Positive
    quota_per_s: NotNegative = 0.0


class Burst(Struct, forbid_unknown_fields=True):
    """An interval in which the arrival rate is multiplied by `times`."""

    at_s: NotNegative
    for_s: Positive
    times: Positive = 1.5


class Arrivals(Struct, forbid_unknown_fields=True):
    """Poisson arrivals at `load` times the first tier's capacity, or at `rate_per_s` in total."""

    load: Span = 0.4
    rate_per_s: NotNegative = 0.0  # 0: use `load`
    swing: Share = 0.0  # relative amplitude of a sine of period `swing_s`
    swing_s: Positive = 20.0
    skew: Annotated[float, Meta(ge=1.0)] = 1.0  # rate of the busiest node relative to the mean
    bursts: list[Burst] = []


class Callers(Struct, forbid_unknown_fields=True):
    """Caller behaviour: number of tries, backoff, and when a caller gives up."""

    tries: Count = 3
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6  # share of the deadline that one try may take
    backoff_ms: Span = 100.0
    honours: Share = 0.3  # share of callers that honour `Retry-After`
    repeats: bool = False  # whether keyed requests that may have run are retried within their window
    impatient: Share = 0.0  # share of callers that disconnect at a random time before the deadline
    notice_s: Span = msgspec.field(default_factory=lambda: [1.4, 3.9])  # until the front detects a dead node


class Discovery(Struct, forbid_unknown_fields=True):
    """Delay with which nodes learn of server list changes."""

    notice_s: Span = msgspec.field(default_factory=lambda: [0.3, 2.2])
    spread_ms: NotNegative = 60.0  # maximum additional delay, drawn per node
    mode: Literal["pushed", "on_request"] = "pushed"


class Rules(Struct, forbid_unknown_fields=True):
    """Limits of the four published rules."""

    max_attempts: Count = 5
    drain_ms: Positive = 500.0
    slack_ms: NotNegative = 70.0
    overdue_ms: Positive = 500.0  # an answer later than this after the deadline counts as lost
    overload_factor: Positive = 2.5
    overload_ms: Positive = 3000.0
    start_capacity: Share = 0.3
    ramp_ms: Positive = 8900.0
    connect_timeout_ms: Positive = 120.0


class Fault(Struct, tag_field="kind", forbid_unknown_fields=True, kw_only=True):
    """A fault with its start and duration; with `flap_s` it turns on and off at that interval."""

    at_s: NotNegative
    for_s: Positive = math.inf
    flap_s: NotNegative = 0.0


class Link(Fault, tag="link", kw_only=True):
    """A fault on the links from `source` to `target`, and in the other direction with `both`."""

    source: str = "*"
    target: str = "*"
    both: bool = False
    loss: Share = 0.0
    delay_ms: NotNegative = 0.0
    jitter_ms: NotNegative = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    rate_kbps: NotNegative = 0.0  # 0: no limit
    cut: bool = False  # everything is dropped silently
    refuse: bool = False  # connections are refused, datagrams lost
    datagrams_only: bool = False  # streams are not affected


class Split(Fault, tag="split", kw_only=True):
    """A network partition into `parts`; machines in no part reach all others."""

    parts: Annotated[list[list[str]], Meta(min_length=2)]
    one_way: bool = False  # cut only from earlier parts to later ones


class Kill(Fault, tag="kill", kw_only=True):
    """SIGKILL to nodes; with `back_s` they are restarted under the same names after that time."""

    nodes: list[str]
    back_s: NotNegative = 0.0


class Terminate(Fault, tag="terminate", kw_only=True):
    """SIGTERM to nodes, one every `apart_s`, followed by SIGKILL `kill_s` later."""

    nodes: list[str]
    apart_s: NotNegative = 0.0
    back_s: NotNegative = 0.0
    kill_s: Positive = 3.7


class Stop(Fault, tag="stop", kw_only=True):
    """SIGSTOP to nodes, SIGCONT after `for_s`; their sockets stay open."""

    nodes: list[str]


class Hog(Fault, tag="hog", kw_only=True):
    """Limits nodes to this share of their core."""

    nodes: list[str]
    share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.1


class Clock(Fault, tag="clock", kw_only=True):
    """Clock fault of virtual nodes: a wall clock offset and a relative drift of the monotonic clock."""

    nodes: list[str]
    wall_ms: float = 0.0
    drift: Annotated[float, Meta(gt=-0.5, lt=0.5)] = 0.0


class ServerFault(Fault, tag="server", kw_only=True):
    """A fault of servers; several kinds may be combined."""

    servers: list[str]
    slow: Annotated[float, Meta(ge=1.0)] = 1.0  # slowdown factor
    hang: bool = False  # accepts requests, answers none
    errors: Share = 0.0  # share of requests answered immediately with 500
    pause_ms: NotNegative = 0.0  # length of repeated pauses
    pause_every_ms: Positive = 1000.0
    vanish: bool = False  # the machine is unreachable; afterwards the server starts cold
    drain: bool = False  # leaves gracefully; afterwards starts cold
    restart: bool = False  # dies and starts cold immediately


class Silence(Fault, tag="discovery", kw_only=True):
    """Discovery sends these nodes no updates or, with `late_s`, delays them by that time."""

    nodes: list[str] = msgspec.field(default_factory=lambda: ["*"])
    late_s: NotNegative = 0.0


class Operation(Fault, tag="operate", kw_only=True):
    """An operator action: `quiesce`, `resume`, `upgrade` with socket hand-over, or `reload`."""

    nodes: list[str]
    do: Literal["quiesce", "resume", "upgrade", "reload"]
    apart_s: NotNegative = 0.0
    max_attempts: Annotated[int, Meta(ge=0)] = 0  # new value set by `reload`; 0: unchanged
    spoilt: bool = False  # the file that `reload` reads is truncated


class Release(Fault, tag="release", kw_only=True):
    """A new build: the servers restart with it one after another, as a staged release if `staged`.

    Defects of the build take effect `ill_s` after each start.
    """

    servers: list[str]
    staged: bool = True
    stages: Annotated[list[float], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1.0, 5.0, 25.0, 50.0, 100.0]
    )  # percent
    bake_s: Positive = 30.0
    lead_s: NotNegative = 2.0  # from the operators' start of the release until the first server restarts
    apart_s: NotNegative = 0.5
    slow: Positive = 1.0  # slowdown factor
    errors: Share = 0.0
    hang: bool = False
    ill_s: NotNegative = 0.0


AnyFault = (
    Link | Split | Kill | Terminate | Stop | Hog | Clock | ServerFault | Silence | Operation | Release
)  # fmt: skip


class Expect(Struct, forbid_unknown_fields=True):
    """Bounds on a figure, such as `goodput` or `class.slot-view.goodput`."""

    figure: str
    at_least: float = -math.inf
    at_most: float = math.inf


CLASSES = [
    Class("slot-view", 0.35, [90.0, 160.0], 750.0, 3000.0, "safe", worth=3.0),
    Class("slot-book", 0.34, [400.0, 670.0], 2500.0, 6000.0, "keyed", worth=10.0),
    Class("slot-release", 0.31, [160.0, 300.0], 1200.0, 3000.0, "unsafe", worth=2.0),
]


class Scenario(Struct, forbid_unknown_fields=True):
    """A complete scenario."""

    name: str
    about: str = ""
    day: Day = msgspec.field(default_factory=Day)
    network: Network = msgspec.field(default_factory=Network)
    nodes: Nodes = msgspec.field(default_factory=Nodes)
    tiers: Annotated[list[Tier], Meta(min_length=1, max_length=2)] = msgspec.field(
        default_factory=lambda: [Tier()]
    )
    classes: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(CLASSES))
    tenants: list[Tenant] = []
    arrivals: Arrivals = msgspec.field(default_factory=Arrivals)
    callers: Callers = msgspec.field(default_factory=Callers)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    rules: Rules = msgspec.field(default_factory=Rules)
    faults: list[AnyFault] = []
    expect: list[Expect] = []


def _fields(kind: msgspec.inspect.Type, value: Any) -> dict[str, msgspec.inspect.Type] | None:
    """Return the keys valid for an object; for a tagged union, those of the type that the tag names."""
    options = kind.types if isinstance(kind, msgspec.inspect.UnionType) else (kind,)
    for option in options:
        if not isinstance(option, msgspec.inspect.StructType):
            continue
        if option.tag_field is None:
            return {field.encode_name: field.type for field in option.fields}
        if value.get(option.tag_field) == option.tag:
            fields = {field.encode_name: field.type for field in option.fields}
            return fields | {option.tag_field: msgspec.inspect.StrType()}
    return None


def _unknown(value: Any, kind: msgspec.inspect.Type, path: str) -> str | None:
    """Return an error text for the first unknown key, or None."""
    if isinstance(value, list) and isinstance(kind, msgspec.inspect.ListType):
        errors = (_unknown(item, kind.item_type, f"{path}[{n}]") for n, item in enumerate(value))
        return next((text for text in errors if text), None)
    fields = _fields(kind, value) if isinstance(value, dict) else None
    if fields is None:
        return None
    for key, item in value.items():
        where = f"{path}.{key}" if path else key
        if key not in fields:
            near = difflib.get_close_matches(key, fields, 1, 0.5)
            hint = f"did you mean {near[0]!r}?" if near else f"known are {', '.join(sorted(fields))}"
            return f"{where}: unknown key; {hint}"
        if text := _unknown(item, fields[key], where):
            return text
    return None


def _change(raw: dict[str, Any], change: str) -> None:
    """Apply a change `path=value` to the raw scenario; the value is written as in TOML."""
    path, equals, value = change.partition("=")
    *above, key = path.strip().split(".")
    try:
        parsed_value = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        equals = ""
    if not equals or not key:
        raise ScenarioError(f"{change!r}: expected path=value, with the value written as in TOML")
    place: Any = raw
    for step in above:
        if isinstance(place, list) and step.isdigit() and int(step) < len(place):
            place = place[int(step)]
        elif isinstance(place, dict):
            place = place.setdefault(step, {})
    if not isinstance(place, dict):
        raise ScenarioError(f"{change!r}: there is no {path.strip()}")
    place[key] = parsed_value


def parse(text: str, source: str = "scenario", changes: Sequence[str] = ()) -> Scenario:
    """Parse a scenario; raises `ScenarioError` with the line or path and what was expected there.

    `changes` are applied first, each given as `path=value`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        raise ScenarioError(f"{source}: not TOML: {problem}") from None
    for change in changes:
        _change(raw, change)
    if unknown := _unknown(raw, msgspec.inspect.type_info(Scenario), ""):
        raise ScenarioError(f"{source}: {unknown}")
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as problem:
        what, _, where = str(problem).partition(" - at `$")
        place = where.rstrip("`").lstrip(".")
        raise ScenarioError(f"{source}: {place + ': ' if place else ''}{what}") from None
    _check(scenario, source)
    return scenario


def _check(scenario: Scenario, source: str) -> None:
    """Check what types can't express: names that must exist, and values that contradict each other."""
    from lab.names import Names, UnknownNameError  # imported late, as it needs the types above

    names = Names(scenario)
    for where, items in (("classes", scenario.classes), ("tenants", scenario.tenants)):
        called = [item.name for item in items]
        if len(set(called)) < len(called):
            raise ScenarioError(f"{source}: {where}: two have the same name")
    if scenario.nodes.share and not scenario.nodes.fleet:
        raise ScenarioError(f"{source}: nodes.share: needs nodes.fleet")
    if "affinity" in scenario.nodes.share and (scenario.nodes.count < 3 or len(scenario.network.zones) < 2):
        raise ScenarioError(f"{source}: nodes.share: affinity needs three nodes and two zones, or more")
    for n, tier in enumerate(scenario.tiers):
        if tier.calls and n + 1 == len(scenario.tiers):
            raise ScenarioError(f"{source}: tiers[{n}].calls: there is no tier behind the last")
    for n, fault in enumerate(scenario.faults):
        if fault.at_s > scenario.day.length_s:
            raise ScenarioError(f"{source}: faults[{n}].at_s: the day ends at {scenario.day.length_s:g} s")
        for key, choice in names.selectors(fault):
            try:
                names.pick(choice, key)
            except UnknownNameError as problem:
                raise ScenarioError(f"{source}: faults[{n}].{key}: {problem}") from None


def load(name: str, changes: Sequence[str] = ()) -> Scenario:
    """Load a scenario by path or by the name of a shipped one; `changes` as in `parse`."""
    path = Path(name)
    if not path.is_file() and (SHIPPED_SCENARIOS / f"{name}.toml").exists():
        path = SHIPPED_SCENARIOS / f"{name}.toml"
    try:
        return parse(path.read_text(encoding="utf-8"), str(path.name), changes)
    except OSError as problem:
        known = ", ".join(sorted(file.stem for file in SHIPPED_SCENARIOS.glob("*.toml")))
        raise ScenarioError(f"{name}: {problem.strerror or problem}; shipped are {known}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{name}: must be text in UTF-8") from None


def schema() -> dict[str, Any]:
    """Return the JSON Schema of scenario files, derived from the types."""
    return msgspec.json.schema(Scenario)
