"""Membership after SWIM and Lifeguard, without sockets or clocks; `docs/membership.md` explains what differs.

`core.Membership` is what hosts use. It is built in layers, a module each; each layer uses only those before:

- `local_member`: this process itself, its view, timers and actions;
- `dissemination`: updates that are gossiped and piggybacked (queue in `dissemination_queue`);
- `state_exchange`: push-pull of complete states when views diverge (anti-entropy);
- `rejoin`: seeds that are not in view, and dead members that may be alive behind a healed partition;
- `name_ownership`: refutation of claims about this process, and conflicts over its name;
- `failure_detection`: merging of records, suspicion, confirmation and declaration of death;
- `core`: events, timers and messages are dispatched to these.

Beside them: `view`, `member` and `name_pool` (what is believed of others), `probing` (pings, indirect pings),
`suspicion_timeout`, `local_health` and `timers`.
"""
