"""`dunlinloft state`: what replicas' data directories hold, and a new epoch after too great a loss."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec
from rich.console import Console

from dunlinloft.controlplane import data_directory, store
from dunlinloft.controlplane.exceptions import StoreError
from dunlinloft.controlplane.member_cache import MemberCache
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
    bodies = data_directory.intact_frames(data)
    whole_bytes = sum(data_directory.frame_size(body) for body in bodies)
    return FileReport(path.name, len(data), len(bodies), whole_bytes)


def reports(folder: Path) -> list[FileReport]:
    """All files that a replica writes, as far as they are there."""
    paths = [
        make(folder, which)
        for which in (0, 1)
        for make in (data_directory.snapshot_path, data_directory.log_path)
    ]
    return [report for path in paths if (report := report_file(path)) is not None]


def summary(folder: Path, durable: Durable, which: int, generation: int) -> dict[str, object]:
    """What the directory recovers to, as values that can be printed or written as JSON."""
    view, state = durable.view, durable.state
    log = data_directory.read_log(data_directory.log_path(folder, which), generation)
    return {
        "format": data_directory.FORMAT_VERSION,
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
        "servers_known": len(MemberCache(folder).read().servers),
    }


def inspect(folder: Path, as_json: bool) -> int:
    """Say what a data directory recovers to; the exit status."""
    try:
        found = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        out.print(f"{error}")
        return UNREADABLE
    if found is None:
        out.print(f"{folder}: no state; a replica that starts with it is a new one")
        return UNREADABLE
    values = summary(folder, found.durable, found.slot, found.generation)
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
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        out.print(f"{error}")
        return UNREADABLE
    if recovered is None:
        out.print("no slot can be read: a replica that starts with this is a new one")
        return UNREADABLE
    out.print(
        f"recovers to version {recovered.durable.state.version} from slot-{recovered.slot},"
        f" generation {recovered.generation}"
    )
    return TORN if any(report.torn for report in found) else SUCCESS


def newest(folders: list[Path]) -> int:
    """Say what each directory recovers to, the newest state first; the exit status."""
    found: list[tuple[Durable, Path]] = []
    for folder in folders:
        try:
            recovered = data_directory.recover(folder)
        except (StoreError, OSError) as error:
            out.print(f"{folder}: {error}")
            continue
        if recovered is None:
            out.print(f"{folder}: no state")
        else:
            found.append((recovered.durable, folder))
    if not found:
        return UNREADABLE
    found.sort(key=lambda pair: (pair[0].state.sequence, _epoch(pair[0])), reverse=True)
    for durable, folder in found:
        state = durable.state
        known = "committed" if durable.committed_digest == state.chain_digest else "not known to be committed"
        out.print(
            f"{folder}: sequence {state.sequence}, version {state.version},"
            f" history {state.chain_digest[:12]}, {known}; epoch {_epoch(durable)}"
        )
    histories = {durable.state.chain_digest for durable, _ in found}
    out.print(
        f"newest: {found[0][1]}; {len(histories)} histories; highest epoch {max(_epoch(d) for d, _ in found)}"
    )
    return SUCCESS


def _epoch(durable: Durable) -> int:
    """The highest epoch that a replica knows of, decided or not."""
    accepted = 0 if durable.accepted is None else durable.accepted[1].epoch
    return max(accepted, 0 if durable.view is None else durable.view.epoch)


def begin(folder: Path, address: str, after_epoch: int, known: bool) -> int:
    """Begin a new epoch from a directory; the exit status. Logged in the directory itself."""
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        out.print(f"{error}")
        return UNREADABLE
    if recovered is None:
        out.print(f"{folder}: no state")
        return UNREADABLE
    durable = recovered.durable
    if after_epoch < _epoch(durable):
        out.print(
            f"--after-epoch: {folder} knows of epoch {_epoch(durable)}; name the highest in any directory"
        )
        return UNREADABLE
    version = durable.state.version
    if not known:
        out.print(
            f"would begin epoch {after_epoch + 1} from version {version}; give --i-know-what-is-lost to do so"
        )
        return TORN
    member = store.begin_new_epoch(folder, address, after_epoch + 1)
    out.print(f"epoch {after_epoch + 1} begins from version {version}, as {member.id}")
    out.print(f"{folder / store.NEW_EPOCHS_FILE} says so")
    return SUCCESS
