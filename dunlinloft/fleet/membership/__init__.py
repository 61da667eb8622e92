"""Membership based on SWIM and Lifeguard, without sockets or clocks; `docs/membership.md` lists the
differences.

Hosts use `core.Membership`. It is composed of layers, one per module, each of which uses only the layers
above it in this list:

- `local_member`: the local process, its view, timers and actions;
- `dissemination`: updates that are gossiped and piggybacked (queue in `dissemination_queue`);
- `state_exchange`: push-pull of complete states when views diverge (anti-entropy);
- `rejoin`: contacts seeds that are not in view, and dead members that may be alive after a partition heals;
- `name_ownership`: refutes claims about the local process and resolves conflicts over its name;
- `failure_detection`: merges records; suspects, confirms and declares members dead;
- `core`: dispatches events, timers and messages to the layers.

Supporting modules: `view`, `member` and `name_pool` (known state of other members), `probing` (direct and
indirect pings), `suspicion_timeout`, `local_health` and `timers`.
"""
