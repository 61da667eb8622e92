"""Reads and validates JSON objects field by field, and builds the balancer's settings from them.

Used by the simulator's adapter and by the node, which get the same settings object from different places.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, TypeVar, overload

from dunlinloft.balancer import interface as api

Json = dict[str, Any]

IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.KEYED,
    "fragile": api.Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
NumberType = tuple[type[int], type[float]]
NUMBER: NumberType = (int, float)
KINDS: dict[type | NumberType, str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    NUMBER: "a number",
    dict: "an object",
    list: "an array",
}
EXAMPLES: dict[type | NumberType, object] = {str: "", bool: False, int: 1, NUMBER: 1.0, dict: {}, list: []}
T = TypeVar("T")
D = TypeVar("D")


@dataclass(frozen=True, slots=True)
class Location:
    """The location of malformed input: the object or array, the key in it, and a valid example value."""

    container: Any
    key: str | int
    example: Any


class MalformedInput(Exception):
    """Input does not have the expected structure; `location` is the place, if known."""

    def __init__(self, text: str, location: Location | None = None) -> None:
        super().__init__(text)
        self.location = location


@overload
def required(obj: Json, key: str, kind: type[T]) -> T:
    """A value of one type."""


@overload
def required(obj: Json, key: str, kind: NumberType) -> float:
    """A number, whole or not."""


def required(obj: Json, key: str, kind: type | NumberType) -> object:
    """Return the value of a required key, which must be of this kind (`NUMBER` for int or float).

    Raises
    ------
    MalformedInput
        If the value is missing, of another kind (a boolean is not a number), or a float that is not finite.
    """
    try:
        value: object = obj[key]
    except KeyError:
        raise MalformedInput(f"{key!r} is missing", Location(obj, key, EXAMPLES[kind])) from None
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        text = f"{key!r} must be {KINDS[kind]}, not {value!r:.60}"
        raise MalformedInput(text, Location(obj, key, EXAMPLES[kind]))
    if isinstance(value, float) and not math.isfinite(value):
        text = f"{key!r} must be a finite number, not {value!r}"
        raise MalformedInput(text, Location(obj, key, EXAMPLES[kind]))
    return value


@overload
def optional(obj: Json, key: str, kind: type[T], default: D) -> T | D:
    """A value of one type, or the default."""


@overload
def optional(obj: Json, key: str, kind: NumberType, default: D) -> float | D:
    """A number, or the default."""


def optional(obj: Json, key: str, kind: type | NumberType, default: object) -> object:
    """Return the value as `required` does, or the default if the key is missing or null."""
    return default if obj.get(key) is None else required(obj, key, kind)


def choice(obj: Json, key: str, choices: dict[Any, T], kind: type = str) -> T:
    """Return the choice that a key's value stands for; raises `MalformedInput` if it is none of them."""
    value: object = required(obj, key, kind)
    if value not in choices:
        text = f"{key!r} is {value!r:.60}, which is none of {', '.join(map(str, choices))}"
        raise MalformedInput(text, Location(obj, key, next(iter(choices))))
    return choices[value]


def object_list(obj: Json, key: str) -> list[Json]:
    """Return the value of a key, which must be an array of objects."""
    values: list[Json] = required(obj, key, list)
    for index, value in enumerate(values):
        if not isinstance(value, dict):
            text = f"{key}[{index}] must be an object, not {value!r:.60}"
            raise MalformedInput(text, Location(values, index, {}))
    return values


def read_settings(env: Json) -> api.Settings:
    """Build `Settings` from JSON; unknown keys are ignored.

    Raises
    ------
    MalformedInput
        For keys that are missing or of the wrong kind.
    ValueError
        For invalid values; see `Settings`.
    """
    classes = [_read_class(cls) for cls in object_list(env, "classes")]
    tenants = [_read_tenant(tenant) for tenant in (object_list(env, "tenants") if env.get("tenants") else [])]
    permissions = required(env, "permissions", dict)
    rules = required(env, "rules", dict)
    prices = optional(env, "prices", dict, {})
    worst_class = optional(optional(env, "score_parts", dict, {}), "worst_class", NUMBER, 0.0)
    return api.Settings(
        classes=classes,
        tenants=tenants,
        over_quota_value=optional(env, "over_share_worth", NUMBER, 1.0),
        worst_class_weight=worst_class / (1.0 - worst_class) if 0.0 <= worst_class < 1.0 else 0.0,
        zone=optional(env, "locality", str, ""),
        replicas=max(1, required(env, "siblings", int)),
        replica_index=optional(env, "my_number", int, 0),
        tier=optional(env, "tier", int, 0),
        tiers=max(1, len(optional(env, "stages", list, []))),
        propagates_deadline=optional(optional(env, "family_info", dict, {}), "passes_deadline", bool, False),
        subscribes=required(env, "membership_mode", str) == "on_request",
        poll_interval_ms=required(rules, "ask_every_ms", NUMBER),
        max_attempts=required(permissions, "max_attempts", int),
        parallel_attempts=optional(permissions, "parallel_tries", bool, False),
        can_cancel=optional(permissions, "may_cancel", bool, False),
        max_retry_after_ms=(
            optional(permissions, "max_retry_after_ms", NUMBER, 0.0)
            if optional(permissions, "retry_after", bool, False)
            else 0.0
        ),
        connect_timeout_ms=required(permissions, "connect_timeout_ms", NUMBER),
        keepalive_ms=optional(permissions, "keepalive_ms", NUMBER, 30_000.0),
        tick_ms=optional(env, "quantum_ms", NUMBER, 0.0),
        answer_slack_ms=optional(rules, "answer_slack_ms", NUMBER, 0.0),
        drain_grace_ms=required(rules, "stop_sending_within_ms", NUMBER),
        slow_start_initial_share=required(rules, "start_capacity", NUMBER),
        slow_start_ms=required(rules, "ramp_time_ms", NUMBER),
        overload_factor=required(rules, "overload_factor", NUMBER),
        overload_for_ms=required(rules, "overload_for_ms", NUMBER),
        retry_budget_ratio=optional(rules, "repeat_ratio", NUMBER, None),
        retry_budget_floor=optional(rules, "extra_floor", NUMBER, 0.0),
        retry_budget_window_ms=optional(rules, "resend_span_ms", NUMBER, 0.0),
        rejected_may_have_run=optional(rules, "full_may_have_run", bool, False),
        cross_zone_price=optional(prices, "cross_zone", NUMBER, 0.0),
        handshake_price=optional(prices, "handshake", NUMBER, 0.0),
    )


def _read_class(cls: Json) -> api.RequestClass:
    keyed = cls.get("semantics") == "dedup"
    return api.RequestClass(
        name=required(cls, "name", str),
        latency_target_ms=required(cls, "objective_ms", NUMBER),
        deadline_ms=required(cls, "give_up_ms", NUMBER),
        value=optional(cls, "importance", NUMBER, 1.0),
        late_value=optional(cls, "late_worth", NUMBER, 0.0),
        idempotency=choice(cls, "semantics", IDEMPOTENCY),
        dedup_scope=choice(cls, "dedup_scope", DEDUP_SCOPES) if keyed else api.DedupScope.ALL,
        dedup_window_ms=required(cls, "window_ms", NUMBER) if keyed else 0.0,
        affinity=optional(cls, "affine", bool, False),
    )


def _read_tenant(tenant: Json) -> api.Tenant:
    return api.Tenant(
        name=required(tenant, "name", str),
        share=optional(tenant, "fraction", NUMBER, 0.0),
        quota_per_s=optional(tenant, "quota_per_s", NUMBER, 0.0),
    )
