"""`dunlinloft state`: what a replica's data directory holds. Nothing in it is changed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec
from rich.console import Console

from dunlinloft.controlplane import store
from dunlinloft.controlplane.known_members import KnownMembers
from dunlinloft.controlplane.store import StoreError
from dunlinloft.coordination.messages import Durable

SUCCESS, TORN, UNREADABLE = 0, 1, 2
out = Console(highlight=False, soft_wrap=True)


@dataclass(frozen=True)
class FileReport:
    """One file of a data directory."""

    name: str
    size: int  # bytes
    blocks: int  # that are whole
    whole_bytes: int  # up to the end of the last of them

    @property
    def torn(self) -> bool:
        """Whether bytes follow that are no whole block."""
        return self.whole_bytes < self.size


def report_file(path: Path) -> FileReport | None:
    """What a file holds; None where there is none."""
    if not path.exists():
        return None
    data = path.read_bytes()
    bodies = store.whole_blocks(data)
    whole_bytes = sum(store.block_size(body) for body in bodies)
    return FileReport(path.name, len(data), len(bodies), whole_bytes)


def reports(folder: Path) -> list[FileReport]:
    """All files that a replica writes, as far as they are there."""
    paths = [make(folder, which) for which in (0, 1) for make in (store.slot_path, store.log_path)]
    return [report for path in paths if (report := report_file(path)) is not None]


def summary(folder: Path, durable: Durable, which: int, generation: int) -> dict[str, object]:
    """What the directory recovers to, as values that can be printed or written as JSON."""
    view, state = durable.view, durable.state
    log = store.read_log(store.log_path(folder, which), generation)
    return {
        "format": store.FORMAT,
        "slot": which,
        "generation": generation,
        "incarnation": durable.incarnation,
        "epoch": 0 if view is None else view.epoch,
        "roster": [] if view is None else [member.id for member in view.roster],
        "chain": [] if view is None else [member.id for member in view.chain],
        "promised": None if durable.promised is None else msgspec.to_builtins(durable.promised),
        "accepted_epoch": None if durable.accepted is None else durable.accepted[1].epoch,
        "sequence": state.sequence,
        "committed": durable.committed_digest == durable.state.chain_digest,
        "version": state.version,
        "routes": len(state.document.get("routes", ())),
        "orders_remembered": len(state.taken),
        "log_records": dict(Counter(type(record).__name__ for record in log)),
        "servers_known": len(KnownMembers(folder).read().servers),
    }


def inspect(folder: Path, as_json: bool) -> int:
    """Say what a data directory recovers to; the exit status."""
    try:
        found = store.recover(folder)
    except (StoreError, OSError) as error:
        out.print(f"{error}")
        return UNREADABLE
    if found is None:
        out.print(f"{folder}: no state; a replica that starts with it is a new one")
        return UNREADABLE
    values = summary(folder, *found)
    if as_json:
        print(msgspec.json.encode(values).decode())
        return SUCCESS
    for name, value in values.items():
        out.print(f"{name:18} {', '.join(value) if isinstance(value, list) else value}")
    return SUCCESS


def verify(folder: Path) -> int:
    """Read every block; say what is torn and whether the state recovers; the exit status."""
    found = reports(folder)
    if not found:
        out.print(f"{folder}: no files of a replica")
        return UNREADABLE
    for report in found:
        rest = report.size - report.whole_bytes
        end = f"; {rest} bytes from byte {report.whole_bytes} are no whole block" if report.torn else ""
        out.print(f"{report.name}: {report.blocks} whole blocks in {report.size} bytes{end}")
    try:
        recovered = store.recover(folder)
    except (StoreError, OSError) as error:
        out.print(f"{error}")
        return UNREADABLE
    if recovered is None:
        out.print("no slot can be read: a replica that starts with this is a new one")
        return UNREADABLE
    durable, which, generation = recovered
    out.print(f"recovers to version {durable.state.version} from slot-{which}, generation {generation}")
    return TORN if any(report.torn for report in found) else SUCCESS
