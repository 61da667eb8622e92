"""The simulator's adapter: runs one `Balancer` for each simulated node over the simulator's line protocol.

It reads one JSON batch per line from standard input and writes one JSON reply per line to standard output. It
makes no decisions. Malformed input ends the process with one line on standard error and exit status 2. Run as
`python -m dunlinloft.balancer.wirehost` (`sim` in `deploy/balancer.toml`). The kinds, keys and codes are
those of the protocol.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.settings import (
    NUMBER,
    Json,
    MalformedInput,
    choice,
    object_list,
    optional,
    read_settings,
    required,
)

HEALTH = {
    "in_service": api.Health.IN_SERVICE,
    "terminating": api.Health.DRAINING,
    "terminated": api.Health.TERMINATED,
}
LIST_FORMS = {
    "INCREMENTAL": api.ListUpdateKind.DELTA,
    "FULL": api.ListUpdateKind.SNAPSHOT,
    "SAVED": api.ListUpdateKind.CACHED,
    "FAILED": api.ListUpdateKind.FAILED,
}
DISPOSITIONS = {
    100: api.Result.SERVED,
    301: api.Result.ERROR,
    302: api.Result.REJECTED,
    303: api.Result.TIMEOUT,
    304: api.Result.UNREACHABLE,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.NOT_SENT,
}
EXIT_MALFORMED = 2


def _read_entries(item: Json) -> list[api.ServerEntry]:
    return [
        api.ServerEntry(
            server=required(element, "server", int),
            zone=optional(element, "failure_domain", str, ""),
            kind=optional(element, "sku", str, ""),
            cell=optional(element, "group", int, 0),
            health=choice(element, "health", HEALTH),
            share=optional(element, "share", NUMBER, 1.0),
            started_ms=optional(element, "boot_time_ms", NUMBER, 0.0) or None,
        )
        for element in object_list(item, "elements")
    ]


def _read_request(item: Json) -> api.Event:
    return api.Request(
        id=required(item, "request_id", str),
        cls=required(item, "type", str),
        ttl_ms=required(item, "ttl_ms", NUMBER),
        tenant=None if item.get("owner") == 0 else optional(item, "owner", str, None),  # 0: no tenant
        client_retry=optional(item, "again_by_client", bool, False),
    )


def _read_report(item: Json) -> dict[str, float] | None:
    """Read a load report; null values are omitted, and negative ones, which noise can cause, become 0."""
    report = optional(item, "report", dict, None)
    if report is None:
        return None
    return {
        name: max(0.0, required(report, name, NUMBER)) for name, value in report.items() if value is not None
    }


def _read_attempt_completed(item: Json) -> api.Event:
    return api.AttemptCompleted(
        id=required(item, "request_id", str),
        attempt=required(item, "send_no", int),
        server=required(item, "server", int),
        result=choice(item, "disposition", DISPOSITIONS, int),
        duration_ms=required(item, "duration_ms", NUMBER),
        final=required(item, "settled", bool),
        report=_read_report(item),
    )


def _read_stream_started(item: Json) -> api.Event:
    return api.StreamStarted(
        id=required(item, "request_id", str),
        attempt=required(item, "send_no", int),
        server=required(item, "server", int),
        duration_ms=required(item, "duration_ms", NUMBER),
    )


READERS: dict[str, Callable[[Json], api.Event]] = {
    "JobIn": _read_request,
    "Completed": _read_attempt_completed,
    "Fired": lambda item: api.TimerFired(required(item, "nonce", int)),
    "ClientGone": lambda item: api.ClientDisconnected(required(item, "request_id", str)),
    "Streaming": _read_stream_started,
}
IGNORED = {"NeighbourSays", "StatusBack"}  # the balancer neither sends probes nor messages to peers


def _write_action(node: str, action: api.Action) -> Json:
    match action:
        case api.Send():
            return {"kind": "SubmitTo", "node": node, "request_id": action.id, "server": action.server,
                    "within_ms": action.timeout_ms}  # fmt: skip
        case api.SetTimer():
            return {"kind": "WakeAt", "node": node, "nonce": action.token, "span_ms": action.delay_ms}
        case api.Fail():
            return {"kind": "RespondError", "node": node, "request_id": action.id}
        case api.Reject():
            return {"kind": "Deny", "node": node, "request_id": action.id,
                    "stay_away_ms": action.retry_after_ms}  # fmt: skip
        case api.Cancel():
            return {"kind": "StopAttempt", "node": node, "request_id": action.id, "send_no": action.attempt}
        case api.CloseIdle():
            return {"kind": "FreeLinks", "node": node, "server": action.server}
        case api.Subscribe():
            return {"kind": "Track", "node": node, "on": True}
        case api.Log():
            return {"kind": "Print", "node": node, "body_text": action.text}


class SimulationHost:
    """The simulated nodes of one process, which share nothing but the stored server lists."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}  # by node
        self._server_lists: dict[int, list[api.ServerEntry]] = {}  # by bank

    def handle_batch(self, batch: Json) -> Json:
        """Process one batch and return the reply; raises `MalformedInput`, which names the invalid item."""
        now_ms: float = required(batch, "ts_ms", NUMBER)
        round_number = required(batch, "round", int)
        actions: list[Json] = []
        for index, item in enumerate(object_list(batch, "items")):
            try:
                self._handle_item(item, now_ms, actions)
            except MalformedInput as error:
                raise MalformedInput(f"items[{index}] ({item.get('kind')!r:.40}): {error}") from None
        return {"round": round_number, "actions": actions}

    def _handle_item(self, item: Json, now_ms: float, actions: list[Json]) -> None:
        """Process one item of a batch and append the resulting actions."""
        kind = required(item, "kind", str)
        if kind == "Page":
            self._server_lists[required(item, "bank", int)] = _read_entries(item)
            return
        node = required(item, "node", str)
        if kind == "Launch":
            self._launch(node, item)
            event: api.Event = api.Started()
        elif node not in self._balancers:
            raise MalformedInput(f"node {node!r:.40} is not running")
        elif kind == "PowerOff":
            del self._balancers[node]
            return
        elif kind == "View":
            event = self._read_list_update(item)
        elif kind in READERS:
            event = READERS[kind](item)
            if isinstance(event, api.Request) and event.cls not in self._balancers[node].classes:
                raise MalformedInput(f"'type' is {event.cls!r:.40}, which is not a class in the settings")
        elif kind in IGNORED:
            return
        else:
            raise MalformedInput("unknown kind of event")
        for action in self._balancers[node].handle(event, now_ms):
            actions.append(_write_action(node, action))

    def _launch(self, node: str, item: Json) -> None:
        """Start a node, or restart it if it is running."""
        try:
            settings = read_settings(required(item, "env", dict))
        except ValueError as error:
            raise MalformedInput(f"'env' has invalid settings: {error}") from None
        self._balancers[node] = Balancer(settings, required(item, "salt", int))

    def _read_list_update(self, item: Json) -> api.Event:
        form = choice(item, "form", LIST_FORMS)
        if form is api.ListUpdateKind.FAILED:
            return api.ServerListUpdate(form)
        bank = required(item, "bank", int)
        if bank not in self._server_lists:
            raise MalformedInput(f"'bank' {bank} was not defined by a Page")
        return api.ServerListUpdate(form, required(item, "stamp", int), self._server_lists[bank])


def _read_batch(source: TextIO) -> Json | None:
    """Read the next batch; returns None at the end of input."""
    try:
        text = source.readline()
        batch = json.loads(text) if text else None
    except (ValueError, RecursionError) as error:
        raise MalformedInput(f"not JSON: {error!s:.200}") from None
    if not text:
        return None
    if not isinstance(batch, dict):
        raise MalformedInput(f"a batch must be an object, not {batch!r:.60}")
    return batch


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Reply to batches until the end of input and return the exit status."""
    host = SimulationHost()
    line_number = 1
    while True:
        try:
            batch = _read_batch(source)
            if batch is None:
                return 0
            reply = host.handle_batch(batch)
        except MalformedInput as error:
            print(f"wirehost: input line {line_number}: {error}", file=errors)
            return EXIT_MALFORMED
        line_number += 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
