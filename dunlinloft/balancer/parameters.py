"""What operators set for a balancer: classes of requests, tenants and limits, checked when they are built.

`dunlinloft.balancer.settings` reads them from JSON; `dunlinloft.balancer.interface` offers them to callers.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "safe"  # any number of times
    KEYED = "keyed"  # servers of one group drop the duplicates that arrive within a window
    NON_IDEMPOTENT = "unsafe"  # never


class DedupScope(Enum):
    """Which servers drop the duplicates of a keyed request among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """One class of requests.

    Attributes
    ----------
    latency_target_ms
        An answer within this time earns the full value (the class's latency SLO).
    deadline_ms
        How long a client waits in all, over all of its attempts.
    value
        What an answer is worth to the operators, relative to other classes.
    late_value
        Share of the value that an answer between latency target and deadline earns.
    dedup_window_ms
        For keyed classes: how long servers remember a request's key.
    affinity
        Requests with a key prefer the server that holds what the key needs.
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
    """One of those who share the service.

    `share` is the share of the service that the tenant is entitled to; `quota_per_s` its quota over all
    nodes, in requests a second: what exceeds it is of little value.
    """

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


# Names in which problems are reported, where the field is called otherwise here: operators know the former.
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
_NON_NEGATIVE = ("retry_budget_floor", "worst_class_weight")  # beside all times and prices
_LOWER_BOUNDS = (("replicas", 1), ("tiers", 1), ("max_attempts", 1), ("replica_index", 0), ("tier", 0))


@dataclass(slots=True)
class Settings:
    """What a node knows when it starts; `Reconfigured` replaces it as a whole.

    Raises
    ------
    ValueError
        For values that cannot be meant. The message lists all problems, separated by `"; "`, each beginning
        with the name that operators know the field by.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_value: float = 1.0  # factor on the value of requests beyond their tenant's quota
    worst_class_weight: float = 0.0  # weight of the worst-served class's on-time share over that of all value
    zone: str = ""
    replicas: int = 1  # balancers that send to the same tier
    replica_index: int = 0  # this one's among them, from 0
    tier: int = 0  # the tier this replica sends to, 0 being the clients' first
    tiers: int = 1
    propagates_deadline: bool = True  # a caller's remaining time comes along with its call
    subscribes: bool = False  # updates of the server list have to be subscribed to
    poll_interval_ms: float = 10_000.0  # between calls to discovery
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients take no such advice
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0  # servers close a connection that has been idle for this long
    tick_ms: float = 0.0  # events are delivered at most this often
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_initial_share: float = 1.0  # capacity share of a server that has just started
    slow_start_ms: float = 0.0  # until it has its full capacity
    overload_factor: float = 1.0  # multiple of its capacity that a server in slow start bears
    overload_for_ms: float = 1_000.0  # for this long
    retry_budget_ratio: float | None = None  # retries by request accepted; None: no such budget
    retry_budget_floor: float = 0.0  # retries that are free in any window
    retry_budget_window_ms: float = 0.0
    rejected_may_have_run: bool = False  # `REJECTED` is no proof that the attempt never ran
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of new connections, by first attempt; as the share of the service's value

    def __post_init__(self) -> None:
        """Reject settings that cannot be meant, with all that is wrong with them."""
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
        for name, least in _LOWER_BOUNDS:
            if getattr(self, name) < least:
                yield f"{_reported(name)}: {getattr(self, name)} is less than {least}"

    def _non_negative(self) -> Iterator[tuple[str, float]]:
        """Times, prices, values and quotas, by reported name."""
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
        """What has to lie within 0 and 1, by reported name."""
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
    """The fields of a settings object by name, in their order; only those that are numbers are compared."""
    return ((f.name, getattr(settings, f.name)) for f in fields(settings))
