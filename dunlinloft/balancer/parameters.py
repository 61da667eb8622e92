"""The balancer's settings: request classes, tenants and limits, validated on construction.

`dunlinloft.balancer.settings` reads them from JSON; `dunlinloft.balancer.interface` re-exports them to
callers.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from enum import Enum


class Idempotency(Enum):
    """Whether requests of a class may be executed more than once."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    KEYED = "keyed"  # the servers of one group drop duplicates by key within a time window
    NON_IDEMPOTENT = "unsafe"  # must not be executed twice


class DedupScope(Enum):
    """The group of servers that deduplicate keyed requests among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes
    ----------
    latency_target_ms
        The class's latency objective; an answer within this time has the full value.
    deadline_ms
        How long a client waits in total, over all of its attempts.
    value
        Value of an answer to the operators, relative to other classes.
    late_value
        Share of the value that an answer between latency target and deadline has.
    dedup_window_ms
        For keyed classes: how long servers remember a request's key.
    affinity
        Whether requests with an affinity key prefer the server that the key maps to.
    """

    name: str
    latency_target_ms: float
    deadline_ms: float
    value: float = 1.0
    late_value: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_ms: float = 0.0
    affinity: bool = False


@dataclass(slots=True)
class Tenant:
    """A tenant of the service.

    `share` is the share of the service that the tenant is entitled to. `quota_per_s` is its quota over all
    nodes in requests per second; requests beyond it are of lower value.
    """

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


# Names of fields in error messages, if they differ from the names in the settings that operators write.
REPORTED_NAMES = {
    "latency_target_ms": "aim_ms",
    "dedup_window_ms": "window_ms",
    "worst_class_weight": "worst_class",
    "replicas": "nodes",
    "replica_index": "number",
    "poll_interval_ms": "ask_every_ms",
    "slow_start_ms": "ramp_time_ms",
    "retry_budget_floor": "extra_floor",
    "retry_budget_window_ms": "resend_span_ms",
}
_NON_NEGATIVE = ("retry_budget_floor", "worst_class_weight")  # in addition to all times and prices
_LOWER_BOUNDS = (("replicas", 1), ("tiers", 1), ("max_attempts", 1), ("replica_index", 0), ("tier", 0))


@dataclass(slots=True)
class Settings:
    """The settings of a node; `Reconfigured` replaces them as a whole.

    Raises
    ------
    ValueError
        For invalid values. The message lists all problems, separated by `"; "`, each starting with the name
        of the field in the operators' settings.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_value: float = 1.0  # factor on the value of requests beyond their tenant's quota
    worst_class_weight: float = 0.0  # weight of the worst-served class's on-time share over total value
    zone: str = ""
    replicas: int = 1  # number of balancers that send to the same tier
    replica_index: int = 0  # index of this one among them, from 0
    tier: int = 0  # the tier that this replica sends to; 0 is the one that clients call
    tiers: int = 1
    propagates_deadline: bool = True  # callers send the remaining time with each call
    subscribes: bool = False  # the node has to subscribe to updates of the server list
    poll_interval_ms: float = 10_000.0  # time between calls to discovery
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients ignore Retry-After
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0  # servers close connections that have been idle for this long
    tick_ms: float = 0.0  # minimum interval between deliveries of events
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_initial_share: float = 1.0  # capacity share of a server that has just started
    slow_start_ms: float = 0.0  # time from its start to full capacity
    overload_factor: float = 1.0  # multiple of its capacity that a server in slow start can take
    overload_for_ms: float = 1_000.0  # how long it can take that
    retry_budget_ratio: float | None = None  # retries allowed per accepted request; None: no retry budget
    retry_budget_floor: float = 0.0  # retries allowed in any window regardless of the ratio
    retry_budget_window_ms: float = 0.0
    rejected_may_have_run: bool = False  # `REJECTED` doesn't prove that the attempt was not executed
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of new connections per first attempt, as a share of the service's value

    def __post_init__(self) -> None:
        """Validate the settings and report all problems at once."""
        if problems := "; ".join(self._problems()):
            raise ValueError(problems)

    def _problems(self) -> Iterator[str]:
        if not self.classes:
            yield "classes: at least one is needed"
        if len({cls.name for cls in self.classes}) < len(self.classes):
            yield "classes: two have the same name"
        for name, value in dict(self._non_negative()).items():
            if not 0.0 <= value < math.inf:
                yield f"{name}: {value} is negative or not finite"
        for cls in self.classes:
            if not cls.latency_target_ms or not cls.deadline_ms:
                yield f"classes[{cls.name}]: aim_ms and deadline_ms must be above 0"
        for name, value in dict(self._shares()).items():
            if not 0.0 <= value <= 1.0:
                yield f"{name}: {value} is not within 0 to 1"
        for name, minimum in _LOWER_BOUNDS:
            if getattr(self, name) < minimum:
                yield f"{_reported(name)}: {getattr(self, name)} is less than {minimum}"

    def _non_negative(self) -> Iterator[tuple[str, float]]:
        """Yield the times, prices, values and quotas, by reported name."""
        for name, value in _numbers(self):
            if name.endswith(("_ms", "_price")) or name in _NON_NEGATIVE:
                yield _reported(name), value
        for cls in self.classes:
            for name, value in _numbers(cls):
                if name.endswith("_ms"):
                    yield f"classes[{cls.name}].{_reported(name)}", value
            yield f"classes[{cls.name}].worth", cls.value
        for tenant in self.tenants:
            yield f"tenants[{tenant.name}].quota_per_s", tenant.quota_per_s

    def _shares(self) -> Iterator[tuple[str, float]]:
        """Yield the values that must be within 0 and 1, by reported name."""
        yield "start_capacity", self.slow_start_initial_share
        yield "over_share_worth", self.over_quota_value
        for cls in self.classes:
            yield f"classes[{cls.name}].late_worth", cls.late_value
        for tenant in self.tenants:
            yield f"tenants[{tenant.name}].share", tenant.share
        if self.retry_budget_ratio is not None:
            yield "repeat_ratio", self.retry_budget_ratio


def _reported(name: str) -> str:
    return REPORTED_NAMES.get(name, name)


def _numbers(settings: Settings | RequestClass) -> Iterator[tuple[str, float]]:
    """Return the names and values of a settings object's fields; callers use only the numeric ones."""
    return ((f.name, getattr(settings, f.name)) for f in fields(settings))
