"""`dunlinloft state`: inspects replicas' data directories, and begins a new epoch after quorum loss."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec
from msgspec import Struct

from dunlinloft.cli.consoles import plain_stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.controlplane import data_directory, store
from dunlinloft.controlplane.data_directory import RecoveredState
from dunlinloft.controlplane.exceptions import StoreError
from dunlinloft.controlplane.member_cache import MemberCache
from dunlinloft.coordination.records import DurableState, Record

DIGEST_CHARACTERS = 12  # printed of a history's digest


@dataclass(frozen=True)
class FileReport:
    """One file of a data directory."""

    name: str
    size: int  # bytes
    blocks: int  # complete ones
    complete_bytes: int  # offset of the end of the last complete block

    @property
    def torn(self) -> bool:
        """Whether the file ends in an incomplete block."""
        return self.complete_bytes < self.size


@dataclass(frozen=True)
class RecoveredDirectory:
    """A data directory and the newest state that recovery yields."""

    folder: Path
    durable: DurableState

    @property
    def highest_epoch(self) -> int:
        """The highest epoch known to the replica, decided or not."""
        return _highest_epoch(self.durable)


class DirectorySummary(Struct, frozen=True):
    """The state that a data directory recovers to; `inspect --json` prints these names in this order."""

    format: int
    slot: int
    generation: int
    incarnation: str
    epoch: int
    roster: list[str]
    chain: list[str]
    promised: object  # the proposal number as JSON
    accepted_epoch: int | None
    sequence: int
    committed: bool
    version: int
    routes: int
    orders_remembered: int
    log_records: dict[str, int]  # counts by the record's printed name
    servers_known: int


def report_file(path: Path) -> FileReport | None:
    """Count a file's blocks; None if the file doesn't exist."""
    if not path.exists():
        return None
    data = path.read_bytes()
    bodies = data_directory.intact_frames(data)
    complete_bytes = sum(data_directory.frame_size(body) for body in bodies)
    return FileReport(path.name, len(data), len(bodies), complete_bytes)


def report_files(folder: Path) -> list[FileReport]:
    """Report on the replica's files that exist."""
    paths = [
        make(folder, slot)
        for slot in (0, 1)
        for make in (data_directory.snapshot_path, data_directory.log_path)
    ]
    return [report for path in paths if (report := report_file(path)) is not None]


def summarize(folder: Path, recovered: RecoveredState) -> DirectorySummary:
    """Summarize the state recovered from a slot and its log."""
    durable = recovered.durable
    view = durable.view
    state = durable.state
    log = data_directory.read_log(data_directory.log_path(folder, recovered.slot), recovered.generation)
    return DirectorySummary(
        format=data_directory.FORMAT_VERSION,
        slot=recovered.slot,
        generation=recovered.generation,
        incarnation=durable.incarnation,
        epoch=0 if view is None else view.epoch,
        roster=[] if view is None else [member.id for member in view.roster],
        chain=[] if view is None else [member.id for member in view.chain],
        promised=None if durable.promised is None else msgspec.to_builtins(durable.promised),
        accepted_epoch=None if durable.accepted is None else durable.accepted.view.epoch,
        sequence=state.sequence,
        committed=durable.committed_digest == durable.state.chain_digest,
        version=state.version,
        routes=len(state.document.get("routes", ())),
        orders_remembered=len(state.applied),
        log_records=dict(Counter(_record_name(record) for record in log)),
        servers_known=len(MemberCache(folder).read().servers),
    )


def _record_name(record: Record) -> str:
    """Return the record name shown to operators, which depends only on its tag, not on its class name."""
    return f"{str(record.__struct_config__.tag).capitalize()}Record"


def inspect(folder: Path, as_json: bool) -> ExitCode:
    """Print the state that a data directory recovers to, without changing it."""
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        plain_stdout.print(f"{error}")
        return ExitCode.INVALID_INPUT
    if recovered is None:
        plain_stdout.print(f"{folder}: no state; a replica started with it is a new one")
        return ExitCode.INVALID_INPUT
    summary = summarize(folder, recovered)
    if as_json:
        print(msgspec.json.encode(summary).decode())
        return ExitCode.SUCCESS
    for name, value in msgspec.structs.asdict(summary).items():
        plain_stdout.print(f"{name:18} {', '.join(value) if isinstance(value, list) else value}")
    return ExitCode.SUCCESS


def verify(folder: Path) -> ExitCode:
    """Read every block; fails if a file is torn, and is invalid if no state can be recovered."""
    reports = report_files(folder)
    if not reports:
        plain_stdout.print(f"{folder}: no replica files")
        return ExitCode.INVALID_INPUT
    for report in reports:
        trailing_bytes = report.size - report.complete_bytes
        end = (
            f"; {trailing_bytes} bytes from byte {report.complete_bytes} are not a complete block"
            if report.torn
            else ""
        )
        plain_stdout.print(f"{report.name}: {report.blocks} complete blocks in {report.size} bytes{end}")
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        plain_stdout.print(f"{error}")
        return ExitCode.INVALID_INPUT
    if recovered is None:
        plain_stdout.print("no readable slot: a replica started with this directory is a new one")
        return ExitCode.INVALID_INPUT
    plain_stdout.print(
        f"recovers to version {recovered.durable.state.version} from slot-{recovered.slot},"
        f" generation {recovered.generation}"
    )
    return ExitCode.CHECK_FAILED if any(report.torn for report in reports) else ExitCode.SUCCESS


def find_newest(folders: list[Path]) -> ExitCode:
    """Print the state that each directory recovers to, newest first."""
    found = _recover_all(folders)
    if not found:
        return ExitCode.INVALID_INPUT
    found.sort(key=lambda each: (each.durable.state.sequence, each.highest_epoch), reverse=True)
    for each in found:
        state = each.durable.state
        committed = each.durable.committed_digest == state.chain_digest
        known = "committed" if committed else "not known to be committed"
        plain_stdout.print(
            f"{each.folder}: sequence {state.sequence}, version {state.version},"
            f" history {state.chain_digest[:DIGEST_CHARACTERS]}, {known}; epoch {each.highest_epoch}"
        )
    histories = {each.durable.state.chain_digest for each in found}
    highest_epoch = max(each.highest_epoch for each in found)
    plain_stdout.print(
        f"newest: {found[0].folder}; {len(histories)} histories; highest epoch {highest_epoch}"
    )
    return ExitCode.SUCCESS


def _recover_all(folders: list[Path]) -> list[RecoveredDirectory]:
    """Recover the directories that hold a state, in the order given; prints why others don't."""
    found: list[RecoveredDirectory] = []
    for folder in folders:
        try:
            recovered = data_directory.recover(folder)
        except (StoreError, OSError) as error:
            plain_stdout.print(f"{folder}: {error}")
            continue
        if recovered is None:
            plain_stdout.print(f"{folder}: no state")
        else:
            found.append(RecoveredDirectory(folder, recovered.durable))
    return found


def _highest_epoch(durable: DurableState) -> int:
    accepted = 0 if durable.accepted is None else durable.accepted.view.epoch
    return max(accepted, 0 if durable.view is None else durable.view.epoch)


def begin_epoch(folder: Path, address: str, after_epoch: int, confirmed: bool) -> ExitCode:
    """Begin a new epoch from a directory's state, once the operator confirms the loss.

    Without the confirmation nothing is written. The new epoch is logged in the directory.
    """
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        plain_stdout.print(f"{error}")
        return ExitCode.INVALID_INPUT
    if recovered is None:
        plain_stdout.print(f"{folder}: no state")
        return ExitCode.INVALID_INPUT
    durable = recovered.durable
    known_epoch = _highest_epoch(durable)
    if after_epoch < known_epoch:
        plain_stdout.print(
            f"--after-epoch: {folder} has epoch {known_epoch}; give the highest epoch in any directory"
        )
        return ExitCode.INVALID_INPUT
    version = durable.state.version
    if not confirmed:
        plain_stdout.print(
            f"would begin epoch {after_epoch + 1} from version {version}; confirm with --i-know-what-is-lost"
        )
        return ExitCode.CHECK_FAILED
    member = store.begin_new_epoch(folder, address, after_epoch + 1)
    plain_stdout.print(f"epoch {after_epoch + 1} begins from version {version}, as {member.id}")
    plain_stdout.print(f"recorded in {folder / store.NEW_EPOCHS_FILE}")
    return ExitCode.SUCCESS
