"""What operators see of a fleet from the command line, by way of one node's admin endpoint."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.parse
import urllib.request
from collections.abc import Callable
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.markup import escape
from rich.table import Table

from dunlinloft.cli import BAD_FILE, SUCCESS, UNKEPT
from dunlinloft.tables import PLAIN

CALL_S = 3.0
EVERY_S = 1.0
COLOURS = {"alive": "green", "suspect": "yellow", "dead": "red", "left": "dim", "quiet": "yellow"}
out, err = Console(), Console(stderr=True, soft_wrap=True)


class NoAnswer(Exception):
    """The admin endpoint gives no answer of use; says why."""


def bad(problem: NoAnswer) -> int:
    """Say what is wrong; the exit status."""
    err.print(f"[red]{escape(str(problem))}[/]", highlight=False)
    return BAD_FILE


def read(admin: str, path: str = "/admin/fleet", method: str = "GET") -> dict[str, Any]:
    """Ask a node's admin endpoint."""
    try:
        call = urllib.request.Request(f"http://{admin}{path}", method=method)
        with urllib.request.urlopen(call, timeout=CALL_S) as answer:
            found = json.load(answer)
    except urllib.error.HTTPError as problem:
        if problem.code == 404:
            raise NoAnswer(f"{admin}: this node has none of it: see `fleet` in its configuration") from None
        raise NoAnswer(f"{admin}: {_reason(problem)}") from None
    except (OSError, ValueError) as problem:
        raise NoAnswer(f"{admin}: no admin endpoint there: {getattr(problem, 'reason', problem)}") from None
    if not isinstance(found, dict):
        raise NoAnswer(f"{admin}: what the endpoint says is no object")
    return found


def _reason(problem: urllib.error.HTTPError) -> str:
    try:
        said = json.load(problem)
        holder = f" ({said['holder']} does)" if said.get("holder") else ""
        return f"{said['error']}{holder}"
    except (OSError, ValueError, KeyError, TypeError):
        return f"the endpoint says {problem.code}"


def table(state: dict[str, Any]) -> Group:
    """The view as a person reads it: what is wrong first."""
    own, differ = state["self"], state["divergence"]
    head = [
        f"fleet {state['fleet']} as {own['name']} sees it: {state['members_alive']} members there, "
        f"part {state['place']['number'] + 1} of {state['place']['nodes']}",
        f"own state {own['state']}, local health {state['health']} (0 is well), "
        f"{state['messages_s']:.0f} messages and {state['bytes_s']:.0f} bytes a second",
    ]
    if differ["members"]:
        head.append(
            f"[yellow]{differ['members']} views differ from this, the longest for {differ['longest_s']} s[/]"
        )
    if own["rival"]:
        head.append(f"[red]another machine has the name {escape(own['name'])}: {escape(own['rival'])}[/]")
    columns = ("member", "state", "for", "started", "rev", "accusers", "rtt ms", "agrees", "zone", "notes")
    rows = Table(*columns, **PLAIN)
    order = {"suspect": 0, "dead": 1, "alive": 2, "left": 3}
    for m in sorted(state["members"], key=lambda m: (order.get(m["state"], 9), m["name"])):
        facts = m["facts"]
        colour = COLOURS.get(m["state"], "white")
        rows.add_row(
            escape(m["name"]),
            f"[{colour}]{m['state']}[/]",
            _time(m["since_s"]),
            time.strftime("%d %H:%M:%S", time.gmtime(m["life"] / 1000.0)),
            str(m["revision"]),
            escape(", ".join(m["accusers"])),
            f"{m['rtt_ms']:.1f}",
            "yes" if m["agrees"] else "[yellow]no[/]",
            escape(str(facts.get("zone", ""))),
            "draining" if facts.get("draining") else "",
        )
    return Group(*head, rows)


def _time(seconds: float) -> str:
    if seconds < 120.0:
        return f"{seconds:.0f} s"
    return f"{seconds / 60.0:.0f} min" if seconds < 7200.0 else f"{seconds / 3600.0:.0f} h"


def members(admin: str, as_json: bool) -> int:
    """Print the members once; the exit status."""
    try:
        state = read(admin)
    except NoAnswer as problem:
        return bad(problem)
    if as_json:
        print(json.dumps(state, indent=2))
    else:
        out.print(table(state), highlight=False)
    return SUCCESS if not state["divergence"]["members"] and not state["self"]["rival"] else UNKEPT


def watch(admin: str, path: str = "/admin/fleet", shown: Callable[[dict[str, Any]], Group] = table) -> int:
    """Print what an endpoint says at a path again and again, until interrupted."""
    try:
        with Live(console=out, auto_refresh=False) as live:
            while True:
                try:
                    live.update(shown(read(admin, path)), refresh=True)
                except NoAnswer as problem:
                    live.update(f"[red]{escape(str(problem))}[/]", refresh=True)
                time.sleep(EVERY_S)
    except KeyboardInterrupt:
        return SUCCESS


def duties(admin: str, as_json: bool) -> int:
    """Print who holds which duty; the exit status."""
    try:
        state = read(admin, "/admin/duties")
    except NoAnswer as problem:
        return bad(problem)
    held = all(row["holder"] for row in state["duties"])
    if as_json:
        print(json.dumps(state, indent=2))
        return SUCCESS if held else UNKEPT
    votes = (
        "votes"
        if state["votes"]
        else "does not vote now"
        if state["self"] in state["voters"]
        else "is no voter"
    )
    out.print(
        f"as {state['self']} sees it, which {votes}; voters {', '.join(state['voters'])}", highlight=False
    )
    columns = ("duty", "holder", "token", "left", "why nobody")
    rows = Table(*columns, **PLAIN)
    for row in state["duties"]:
        left = f"{row['remaining_s']:.1f} s" if "remaining_s" in row else ""
        holder = escape(row["holder"]) or "[red]nobody[/]"
        rows.add_row(row["duty"], holder, str(row["token"] or ""), left, escape(row.get("why", "")))
    out.print(rows)
    for group in state["divergence"]:
        names = ", ".join(group["members"])
        out.print(f"one view for {group['for_s']:.0f} s: {names}", highlight=False, markup=False)
    for line in state["history"][-10:]:
        why = f": {line['why']}" if line["why"] else ""
        out.print(
            f"{line['time']} {line['what']} {line['duty']}, token {line['token']}{why}", highlight=False
        )
    return SUCCESS if held else UNKEPT


def hand_over(admin: str, duty: str, to: str) -> int:
    """Ask a holder to hand over; the exit status."""
    query = urllib.parse.urlencode({"duty": duty, "to": to})
    try:
        read(admin, f"/admin/duties/hand-over?{query}", "POST")
    except NoAnswer as problem:
        return bad(problem)
    out.print(f"{duty} is handed over to {to or 'whoever is next'}", highlight=False)
    return SUCCESS


def state(admin: str, as_json: bool) -> int:
    """Print what members share, with ages; the exit status is 1 where a fallback is in force."""
    try:
        found = read(admin, "/admin/shared")
    except NoAnswer as problem:
        return bad(problem)
    limits, homes = found["limits"], found["affinity"]
    fallback = (limits["in_use"] and limits["fallback"]) or (homes["in_use"] and homes["cut_off"])
    if as_json:
        print(json.dumps(found, indent=2))
        return UNKEPT if fallback else SUCCESS
    out.print(f"as {found['self']} has it; shared are {', '.join(found['share'])}", highlight=False)
    for line in (*_verdicts(found), *_limits(limits), *_homes(homes)):
        out.print(line, highlight=False)
    columns = ("kind", "of", "version", "age", "by way of", "bytes")
    rows = Table(*columns, **PLAIN)
    for r in found["records"]:
        way, age = escape(r["from"] or "itself"), f"{r['age_s']:.2f} s"
        rows.add_row(r["kind"], escape(r["writer"]), str(r["version"]), age, way, str(r["bytes"]))
    out.print(rows)
    return UNKEPT if fallback else SUCCESS


def _verdicts(found: dict[str, Any]) -> list[str]:
    if "verdicts" not in found["share"]:
        return []
    lines = []
    for v in found["verdicts"]:
        whom = ", ".join(v["classes"]) or "all classes"
        what = [f"avoided for {whom}"] if v["avoid"] else []
        what += [f"{v['slow']:.1f} times slower than its peers"] if v["slow"] > 1.0 else []
        lines.append(f"[yellow]server {escape(v['name'])}: {escape(', '.join(what))}[/]")
    return lines or ["no server is spoken against"]


def _limits(limits: dict[str, Any]) -> list[str]:
    if not limits["in_use"]:
        return []
    known = f"demand of {limits['known']} of {limits['counted']} members is known"
    lines = [f"[yellow]{known}; the others count with even parts[/]" if limits["fallback"] else known]
    for tenant, part in limits["parts"].items():
        lines.append(f"{escape(tenant)}: {part['part_per_s']:.1f} of {part['quota_per_s']:.0f} a second here")
    return [*lines, f"loops together allow {limits['retry_share']:.0%} of retries"]


def _homes(homes: dict[str, Any]) -> list[str]:
    if not homes["in_use"]:
        return []
    lines = [f"keyed requests have homes in {', '.join(homes['homes'])}"]
    if homes["cut_off"]:
        lines.append("[red]too few members are heard: repeats of keyed requests are refused[/]")
    for zone in homes["out"]:
        how = "keys go elsewhere" if zone in homes["open"] else "the others do not all know yet"
        lines.append(f"[yellow]{escape(zone)} is out for this node: {how}[/]")
    for name, zones in homes["others"].items():
        if zones:
            lines.append(f"[yellow]{escape(name)} sends keys of {escape(', '.join(zones))} elsewhere[/]")
    counts = [f"{count} {why}" for why, count in sorted(homes["counts"].items())]
    return [*lines, f"so far {', '.join(counts)}"] if counts else lines


def ledger(admin: str, entries: tuple[str, ...], as_json: bool) -> int:
    """Enter rows where there are any, each as KEY=VALUE, then print the ledger; the exit status."""
    status = SUCCESS
    try:
        for entry in entries:
            key, equals, value = entry.partition("=")
            if not key or not equals:
                raise NoAnswer(f"{entry!r}: expected KEY=VALUE")
            query = urllib.parse.urlencode({"key": key, "value": value})
            number = read(admin, f"/admin/ledger/enter?{query}", "POST")["entry"]
            state = _end_of(admin, number)
            out.print(f"{key}: {state}", highlight=False)
            status = status if state == "kept" else UNKEPT
        found = read(admin, "/admin/ledger")
    except NoAnswer as problem:
        return bad(problem)
    if as_json:
        print(json.dumps(found, indent=2))
        return status
    if not found["here"]:
        holder = found["holder"] or "nobody"
        out.print(f"{found['self']} does not hold the ledger; {holder} does: ask there", highlight=False)
        return status
    if found["lost"]:
        out.print("[red]rows may be lost: a majority of the voters has forgotten. Enter what is missing[/]")
    rows = Table("key", "value", "token", **PLAIN)
    for row in found["rows"]:
        rows.add_row(escape(row["key"]), escape(row["value"]), str(row["token"]))
    out.print(f"the ledger is {found['step']}, token {found['token']}", highlight=False)
    out.print(rows)
    return status


def voters(admin: str, add: str, remove: str, as_json: bool) -> int:
    """Change the voters where that is asked for, then print them; the exit status."""
    status = SUCCESS
    try:
        if add or remove:
            query = urllib.parse.urlencode({"add": add, "remove": remove})
            number = read(admin, f"/admin/voters/change?{query}", "POST")["entry"]
            state = _end_of(admin, number)
            out.print(f"{'+' + add if add else '-' + remove}: {state}", highlight=False)
            status = SUCCESS if state == "kept" else UNKEPT
        found = read(admin, "/admin/voters")
    except NoAnswer as problem:
        return bad(problem)
    missing = [row["name"] for row in found["voters"] if not row["there"]]
    status = UNKEPT if missing or found["behind"] else status
    if as_json:
        print(json.dumps(found, indent=2))
        return status
    names, configured = [row["name"] for row in found["voters"]], found["configured"]
    what = f"as {found['self']} has it, after change {found['change']}"
    out.print(f"{what}: {', '.join(names)} vote, {len(names) // 2 + 1} have to agree", highlight=False)
    if missing:
        out.print(f"[red]not there: {escape(', '.join(missing))}[/]", highlight=False)
    if set(names) != set(configured):
        listed = escape(", ".join(configured))
        out.print(f"[yellow]the configuration still names {listed}: bring the files up to date[/]")
    if len(names) % 2 == 0:
        out.print("[yellow]an even number: add or remove one more[/]")
    for name, told in found["behind"].items():
        out.print(f"[yellow]{escape(name)} takes them for {escape(told)}[/]", highlight=False)
    if found["why_no_change"]:
        why = found["why_no_change"] if found["here"] else f"ask {found['holder'] or 'nobody'}, the holder"
        out.print(f"no change here now: {escape(why)}", highlight=False)
    return status


def _end_of(admin: str, number: int) -> str:
    """How an entry ended, as soon as that is known."""
    state = "under way"
    for _ in range(20):
        found = read(admin, "/admin/ledger")["entries"]
        state = next((str(entry["state"]) for entry in found if entry["entry"] == number), "unknown")
        if state != "under way":
            break
        time.sleep(0.1)
    return state
