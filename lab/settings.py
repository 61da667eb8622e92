"""Builds a node's start-up settings, in the published format, from a scenario and its plan."""

from __future__ import annotations

from typing import Any

from lab.plan import Plan

SEMANTICS_BY_EFFECT = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def settings(plan: Plan, node: str, max_attempts: int = 0) -> dict[str, Any]:
    """Return the `settings` object of a front node, or of a node that runs beside a first-tier server."""
    scenario, names = plan.scenario, plan.names
    is_server_node = node in names.server_nodes
    sibling_names = list(names.server_nodes if is_server_node else names.nodes)
    tier, rules = scenario.tiers[int(is_server_node)], scenario.rules
    return {
        "classes": [
            {
                "name": cls.name,
                "objective_ms": cls.aim_ms,
                "give_up_ms": cls.deadline_ms,
                "importance": cls.worth,
                "late_worth": cls.late_worth,
                "semantics": SEMANTICS_BY_EFFECT[cls.effect],
                "dedup_scope": cls.group if cls.effect == "keyed" else "all",
                "window_ms": cls.window_ms,
                "stream": False,
            }
            for cls in scenario.classes
        ],
        "tenants": [
            {"name": t.name, "fraction": min(1.0, t.share), "quota_per_s": t.quota_per_s}
            for t in scenario.tenants
        ],
        "over_share_worth": 0.1,
        "score_parts": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
        "locality": names.zone(node),
        "dcs": names.zones,
        "siblings": len(sibling_names),
        "my_number": sibling_names.index(node),
        "tier": int(is_server_node),
        "stages": [spec.name for spec in scenario.tiers],
        "family": "chain",
        "family_info": {"passes_deadline": True},
        "membership_mode": scenario.discovery.mode,
        "quantum_ms": 5.0,
        "stats": {"how": "piggyback" if tier.reports else "silent", "fields": ["inflight", "queue"]},
        "prices": {"cross_zone": 0.014, "handshake": 0.02},
        "permissions": {
            "max_attempts": max_attempts or rules.max_attempts,
            "parallel_tries": True,
            "may_cancel": True,
            "peers": scenario.nodes.fleet,
            "probes": False,
            "retry_after": True,
            "max_retry_after_ms": 3000.0,
            "connect_timeout_ms": rules.connect_timeout_ms,
            "keepalive_ms": 60_000.0,
        },
        "rules": {
            "ask_every_ms": 10_000.0,
            "stop_sending_within_ms": rules.drain_ms,
            "answer_slack_ms": 20.0,
            "start_capacity": rules.start_capacity,
            "ramp_time_ms": rules.ramp_ms,
            "overload_factor": rules.overload_factor,
            "overload_for_ms": rules.overload_ms,
        },
    }
