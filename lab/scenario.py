"""A scenario file as typed values: what there is, what comes, what fails, and what is expected.

Times in keys that end with `_s` are seconds, with `_ms` milliseconds. A `Span` is one figure, or two
between which each seed draws its own. Unknown keys are refused with the nearest known one.
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

SHIPPED = Path(__file__).parent / "scenarios"


class BadScenario(Exception):
    """A file that no day can be made of; says where, and what was expected."""


class Day(Struct, forbid_unknown_fields=True):
    """How long callers come, and how long their last requests are waited for."""

    length_s: Positive = 20.0
    after_s: Positive = 7.0


class Network(Struct, forbid_unknown_fields=True):
    """Round trips between machines of one zone and of two, and how much single ones vary."""

    zones: Annotated[list[str], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["linz", "wien", "krems"]
    )
    same_ms: Span = msgspec.field(default_factory=lambda: [0.13, 0.3])
    cross_ms: Span = msgspec.field(default_factory=lambda: [7.0, 13.0])
    jitter: Share = 0.1


class Nodes(Struct, forbid_unknown_fields=True):
    """The front nodes, spread over the zones in turn, and what each process may use."""

    count: Count = 3
    memory_mb: Positive = 96.0
    sockets: Annotated[int, Meta(ge=64)] = 512
    fleet: bool = False  # whether they are members of one fleet
    share: list[Literal["verdicts", "limits", "affinity", "releases"]] = []  # what its members share
    cpu_ms: NotNegative = (
        0.5  # of a core, for a request; virtual nodes take so long, real ones what they take
    )


class Tier(Struct, forbid_unknown_fields=True):
    """The servers of one tier. With a tier behind it each of them has a node of its own to call that."""

    name: str = "slot-front"
    servers: Count = 12
    cores: Positive = 2.0
    speed: Span = msgspec.field(default_factory=lambda: [0.85, 1.1])
    work: NotNegative = 0.44  # share of a request's work that is done here
    slots_per_core: Positive = 16.0
    queue_per_core: NotNegative = 20.0
    thrash: NotNegative = 0.15  # how much slower for each time over `thrash_at` that it holds
    thrash_at: Positive = 20.0  # requests a core
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.45
    cold_s: NotNegative = 6.0
    choke_at: NotNegative = 0.0  # requests a core; held for `choke_over_s` it chokes; 0: never
    choke_over_s: Positive = 2.0
    choke_slower: Annotated[float, Meta(ge=1.0)] = 3.0
    choke_rest_s: Positive = 3.0
    error_rate: Share = 0.001
    pause_every_s: NotNegative = 0.0  # 0: never
    pause_ms: NotNegative = 0.0
    connections: Count = 1200
    handshake_rtts: NotNegative = 1.0
    handshake_ms: NotNegative = 3.0  # of work
    cell_size: Count = 8
    calls: NotNegative = 0.0  # to the tier behind, for each request, on average
    cancels: Literal["queued", "all"] = "all"
    report_delay_ms: NotNegative = 60.0
    report_noise: Share = 0.08
    reports: bool = True


class Class(Struct, forbid_unknown_fields=True):
    """A class of requests; `work_ms` of one core at speed 1 over all tiers, lognormal."""

    name: str
    share: Positive
    work_ms: Span
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"]
    cv: NotNegative = 1.2
    noise: Share = 0.2  # between attempts of one request
    worth: Positive = 1.0
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "zone"
    window_ms: Positive = 10_000.0


class Tenant(Struct, forbid_unknown_fields=True):
    """One of those who share the service: its share of the requests, and its quota over all nodes."""

    name: str
    share: Positive
    quota_per_s: NotNegative = 0.0


class Burst(Struct, forbid_unknown_fields=True):
    """For a while `times` as much comes."""

    at_s: NotNegative
    for_s: Positive
    times: Positive = 1.5


class Arrivals(Struct, forbid_unknown_fields=True):
    """How requests come: Poisson, around `load` of the first tier's capacity or `rate_per_s` in all."""

    load: Span = 0.4
    rate_per_s: NotNegative = 0.0  # 0: by load
    swing: Share = 0.0
    swing_s: Positive = 20.0
    skew: Annotated[float, Meta(ge=1.0)] = 1.0  # what the busiest node gets, over the mean
    bursts: list[Burst] = []


class Callers(Struct, forbid_unknown_fields=True):
    """What a caller does: how often it tries, how long it waits in between, and when it gives up."""

    tries: Count = 3
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6  # of the deadline that one try may take
    backoff_ms: Span = 100.0
    honours: Share = 0.3  # share of them that wait as `Retry-After` says
    repeats: bool = False  # whether they ask for keyed work again that may have run, within its window
    impatient: Share = 0.0  # share that leave at a random time before the answer is due
    notice_s: Span = msgspec.field(default_factory=lambda: [1.4, 3.9])  # until the front sees a node dead


class Discovery(Struct, forbid_unknown_fields=True):
    """How soon each node is told of a change."""

    notice_s: Span = msgspec.field(default_factory=lambda: [0.3, 2.2])
    spread_ms: NotNegative = 60.0  # between nodes
    mode: Literal["pushed", "on_request"] = "pushed"


class Rules(Struct, forbid_unknown_fields=True):
    """The figures of the four rules."""

    max_attempts: Count = 5
    drain_ms: Positive = 500.0
    slack_ms: NotNegative = 70.0
    overdue_ms: Positive = 500.0  # so long after its time an answer earns nothing; later it is lost
    overload_factor: Positive = 2.5
    overload_ms: Positive = 3000.0
    start_capacity: Share = 0.3
    ramp_ms: Positive = 8900.0
    connect_timeout_ms: Positive = 120.0


class Fault(Struct, tag_field="kind", forbid_unknown_fields=True, kw_only=True):
    """What fails, from when and for how long; with `flap_s` it comes and goes in that rhythm."""

    at_s: NotNegative
    for_s: Positive = math.inf
    flap_s: NotNegative = 0.0


class Link(Fault, tag="link", kw_only=True):
    """Links from some to others, in that direction, and in the other with `both`."""

    source: str = "*"
    target: str = "*"
    both: bool = False
    loss: Share = 0.0
    delay_ms: NotNegative = 0.0
    jitter_ms: NotNegative = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    rate_kbps: NotNegative = 0.0  # 0: no limit
    cut: bool = False  # silent
    refuse: bool = False  # connections are refused, datagrams lost
    datagrams_only: bool = False  # streams pass as ever


class Split(Fault, tag="split", kw_only=True):
    """Each part is cut off from the others; who is in no part sees all."""

    parts: Annotated[list[list[str]], Meta(min_length=2)]
    one_way: bool = False  # only what goes from an earlier part to a later one


class Kill(Fault, tag="kill", kw_only=True):
    """SIGKILL for nodes; with `back_s` they are started again under their names."""

    nodes: list[str]
    back_s: NotNegative = 0.0


class Terminate(Fault, tag="terminate", kw_only=True):
    """SIGTERM for nodes, one after another `apart_s`, SIGKILL `kill_s` later."""

    nodes: list[str]
    apart_s: NotNegative = 0.0
    back_s: NotNegative = 0.0
    kill_s: Positive = 3.7


class Stop(Fault, tag="stop", kw_only=True):
    """SIGSTOP for nodes, SIGCONT after `for_s`; their sockets stay open."""

    nodes: list[str]


class Hog(Fault, tag="hog", kw_only=True):
    """Nodes get only this share of their core."""

    nodes: list[str]
    share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.1


class Clock(Fault, tag="clock", kw_only=True):
    """Virtual nodes' clocks: the wall's is off by so much, the monotonic one runs so much faster."""

    nodes: list[str]
    wall_ms: float = 0.0
    drift: Annotated[float, Meta(gt=-0.5, lt=0.5)] = 0.0


class ServerFault(Fault, tag="server", kw_only=True):
    """What is wrong with servers; several at once are possible."""

    servers: list[str]
    slow: Annotated[float, Meta(ge=1.0)] = 1.0  # times its usual time
    hang: bool = False  # takes all, answers nothing
    errors: Share = 0.0  # answered with 500, at once
    pause_ms: NotNegative = 0.0  # stands still for so long, again and again
    pause_every_ms: Positive = 1000.0
    vanish: bool = False  # its machine is cut off; afterwards it starts cold
    drain: bool = False  # leaves in order; afterwards it starts cold
    restart: bool = False  # dies and starts cold at once


class Silence(Fault, tag="discovery", kw_only=True):
    """Discovery tells these nodes nothing; or, with `late_s`, so much later."""

    nodes: list[str] = msgspec.field(default_factory=lambda: ["*"])
    late_s: NotNegative = 0.0


class Operation(Fault, tag="operate", kw_only=True):
    """What operators do: `quiesce` and `resume`, `upgrade` with a handed socket, `reload`."""

    nodes: list[str]
    do: Literal["quiesce", "resume", "upgrade", "reload"]
    apart_s: NotNegative = 0.0
    max_attempts: Annotated[int, Meta(ge=0)] = 0  # of the settings that `reload` brings; 0: as before
    spoilt: bool = False  # the file that `reload` brings is cut off


class Release(Fault, tag="release", kw_only=True):
    """A new build: these servers start anew with it, one after another; operators stage it if they do.

    What is wrong with the build shows `ill_s` after each start.
    """

    servers: list[str]
    staged: bool = True
    stages: Annotated[list[float], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [1.0, 5.0, 25.0, 50.0, 100.0]
    )  # percent
    bake_s: Positive = 30.0
    lead_s: NotNegative = 2.0  # from when operators begin it until the first server starts
    apart_s: NotNegative = 0.5
    slow: Positive = 1.0  # times the usual time
    errors: Share = 0.0
    hang: bool = False
    ill_s: NotNegative = 0.0


AnyFault = (
    Link | Split | Kill | Terminate | Stop | Hog | Clock | ServerFault | Silence | Operation | Release
)  # fmt: skip


class Expect(Struct, forbid_unknown_fields=True):
    """A bound that a figure has to keep, such as `goodput` or `class.slot-view.goodput`."""

    figure: str
    at_least: float = -math.inf
    at_most: float = math.inf


CLASSES = [
    Class("slot-view", 0.35, [90.0, 160.0], 750.0, 3000.0, "safe", worth=3.0),
    Class("slot-book", 0.34, [400.0, 670.0], 2500.0, 6000.0, "keyed", worth=10.0),
    Class("slot-release", 0.31, [160.0, 300.0], 1200.0, 3000.0, "unsafe", worth=2.0),
]


class Scenario(Struct, forbid_unknown_fields=True):
    """A day in the life of a fleet."""

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
    """The keys that an object may have here; of several kinds, that which its `kind` names."""
    options = kind.types if isinstance(kind, msgspec.inspect.UnionType) else (kind,)
    for option in options:
        if not isinstance(option, msgspec.inspect.StructType):
            continue
        if option.tag_field is None:
            return {field.encode_name: field.type for field in option.fields}
        if value.get(option.tag_field) == option.tag:
            found = {field.encode_name: field.type for field in option.fields}
            return found | {option.tag_field: msgspec.inspect.StrType()}
    return None


def _unknown(value: Any, kind: msgspec.inspect.Type, path: str) -> str | None:
    """What there is to say of the first key that is not known; None where all are."""
    if isinstance(value, list) and isinstance(kind, msgspec.inspect.ListType):
        found = (_unknown(item, kind.item_type, f"{path}[{n}]") for n, item in enumerate(value))
        return next((text for text in found if text), None)
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
    """Put `path=value` into a scenario's raw values, the value written as in TOML."""
    path, equals, value = change.partition("=")
    *above, key = path.strip().split(".")
    try:
        found = tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        equals = ""
    if not equals or not key:
        raise BadScenario(f"{change!r}: expected path=value, with the value written as in TOML")
    place: Any = raw
    for step in above:
        if isinstance(place, list) and step.isdigit() and int(step) < len(place):
            place = place[int(step)]
        elif isinstance(place, dict):
            place = place.setdefault(step, {})
    if not isinstance(place, dict):
        raise BadScenario(f"{change!r}: there is no {path.strip()}")
    place[key] = found


def parse(text: str, source: str = "scenario", changes: Sequence[str] = ()) -> Scenario:
    """Read a scenario's text; `BadScenario` names the line or path, and what was expected there.

    `changes` are put in first, each as `path=value`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        raise BadScenario(f"{source}: not TOML: {problem}") from None
    for change in changes:
        _change(raw, change)
    if unknown := _unknown(raw, msgspec.inspect.type_info(Scenario), ""):
        raise BadScenario(f"{source}: {unknown}")
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as problem:
        what, _, where = str(problem).partition(" - at `$")
        place = where.rstrip("`").lstrip(".")
        raise BadScenario(f"{source}: {place + ': ' if place else ''}{what}") from None
    _check(scenario, source)
    return scenario


def _check(scenario: Scenario, source: str) -> None:
    """What types alone don't say: names that must exist, and figures that contradict each other."""
    from lab.names import Names, UnknownNameError  # it needs the types above

    names = Names(scenario)
    for where, items in (("classes", scenario.classes), ("tenants", scenario.tenants)):
        called = [item.name for item in items]
        if len(set(called)) < len(called):
            raise BadScenario(f"{source}: {where}: two have the same name")
    if scenario.nodes.share and not scenario.nodes.fleet:
        raise BadScenario(f"{source}: nodes.share: needs nodes.fleet")
    if "affinity" in scenario.nodes.share and (scenario.nodes.count < 3 or len(scenario.network.zones) < 2):
        raise BadScenario(f"{source}: nodes.share: affinity needs three nodes and two zones, or more")
    for n, tier in enumerate(scenario.tiers):
        if tier.calls and n + 1 == len(scenario.tiers):
            raise BadScenario(f"{source}: tiers[{n}].calls: there is no tier behind the last")
    for n, fault in enumerate(scenario.faults):
        if fault.at_s > scenario.day.length_s:
            raise BadScenario(f"{source}: faults[{n}].at_s: the day ends at {scenario.day.length_s:g} s")
        for key, choice in names.selectors(fault):
            try:
                names.pick(choice, key)
            except UnknownNameError as problem:
                raise BadScenario(f"{source}: faults[{n}].{key}: {problem}") from None


def load(name: str, changes: Sequence[str] = ()) -> Scenario:
    """Read a scenario by its file's path, or by the name of one that is shipped; `changes` as for `parse`."""
    path = Path(name)
    if not path.is_file() and (SHIPPED / f"{name}.toml").exists():
        path = SHIPPED / f"{name}.toml"
    try:
        return parse(path.read_text(encoding="utf-8"), str(path.name), changes)
    except OSError as problem:
        known = ", ".join(sorted(file.stem for file in SHIPPED.glob("*.toml")))
        raise BadScenario(f"{name}: {problem.strerror or problem}; shipped are {known}") from None
    except UnicodeDecodeError:
        raise BadScenario(f"{name}: must be text in UTF-8") from None


def schema() -> dict[str, Any]:
    """The JSON Schema of a scenario file, from the types."""
    return msgspec.json.schema(Scenario)
