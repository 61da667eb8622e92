"""`dunlinloft state`: what replicas' data directories hold, and a new epoch where a quorum is lost."""

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

DIGEST_CHARACTERS = 12  # of a history's digest that are printed


@dataclass(frozen=True)
class FileReport:
    """One file of a data directory."""

    name: str
    size: int  # bytes
    blocks: int  # complete ones
    complete_bytes: int  # up to the end of the last complete block

    @property
    def torn(self) -> bool:
        """Whether the file ends in bytes that are no complete block."""
        return self.complete_bytes < self.size


@dataclass(frozen=True)
class RecoveredDirectory:
    """A data directory and the newest state that it recovers to."""

    folder: Path
    durable: DurableState

    @property
    def highest_epoch(self) -> int:
        """The highest epoch that the replica knows of, decided or not."""
        return _highest_epoch(self.durable)


class DirectorySummary(Struct, frozen=True):
    """What a data directory recovers to; `state inspect --json` prints these names in this order."""

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
    log_records: dict[str, int]  # by the record's printed name
    servers_known: int


def report_file(path: Path) -> FileReport | None:
    """The blocks that a file holds; None where there is no file."""
    if not path.exists():
        return None
    data = path.read_bytes()
    bodies = data_directory.intact_frames(data)
    complete_bytes = sum(data_directory.frame_size(body) for body in bodies)
    return FileReport(path.name, len(data), len(bodies), complete_bytes)


def report_files(folder: Path) -> list[FileReport]:
    """All files of a replica that exist."""
    paths = [
        make(folder, which)
        for which in (0, 1)
        for make in (data_directory.snapshot_path, data_directory.log_path)
    ]
    return [report for path in paths if (report := report_file(path)) is not None]


def summarize(folder: Path, recovered: RecoveredState) -> DirectorySummary:
    """What a directory recovers to from a slot and its log."""
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
    """The name by which operators know a record: made of its tag, whatever its class is called."""
    return f"{str(record.__struct_config__.tag).capitalize()}Record"


def inspect(folder: Path, as_json: bool) -> ExitCode:
    """Print what a data directory recovers to; changes nothing."""
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        plain_stdout.print(f"{error}")
        return ExitCode.INVALID_INPUT
    if recovered is None:
        plain_stdout.print(f"{folder}: no state; a replica that starts with it is a new one")
        return ExitCode.INVALID_INPUT
    summary = summarize(folder, recovered)
    if as_json:
        print(msgspec.json.encode(summary).decode())
        return ExitCode.SUCCESS
    for name, value in msgspec.structs.asdict(summary).items():
        plain_stdout.print(f"{name:18} {', '.join(value) if isinstance(value, list) else value}")
    return ExitCode.SUCCESS


def verify(folder: Path) -> ExitCode:
    """Read every block; fails where a file is torn, and is invalid where no state recovers."""
    reports = report_files(folder)
    if not reports:
        plain_stdout.print(f"{folder}: no files of a replica")
        return ExitCode.INVALID_INPUT
    for report in reports:
        rest = report.size - report.complete_bytes
        end = f"; {rest} bytes from byte {report.complete_bytes} are no whole block" if report.torn else ""
        plain_stdout.print(f"{report.name}: {report.blocks} whole blocks in {report.size} bytes{end}")
    try:
        recovered = data_directory.recover(folder)
    except (StoreError, OSError) as error:
        plain_stdout.print(f"{error}")
        return ExitCode.INVALID_INPUT
    if recovered is None:
        plain_stdout.print("no slot can be read: a replica that starts with this is a new one")
        return ExitCode.INVALID_INPUT
    plain_stdout.print(
        f"recovers to version {recovered.durable.state.version} from slot-{recovered.slot},"
        f" generation {recovered.generation}"
    )
    return ExitCode.CHECK_FAILED if any(report.torn for report in reports) else ExitCode.SUCCESS


def find_newest(folders: list[Path]) -> ExitCode:
    """Print what each directory recovers to, the newest state first."""
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
    """The directories that recover to a state, in the order given; prints why others don't."""
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

    Without the confirmation nothing is written. The directory itself keeps a log of it.
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
            f"--after-epoch: {folder} knows of epoch {known_epoch}; name the highest in any directory"
        )
        return ExitCode.INVALID_INPUT
    version = durable.state.version
    if not confirmed:
        plain_stdout.print(
            f"would begin epoch {after_epoch + 1} from version {version}; give --i-know-what-is-lost to do so"
        )
        return ExitCode.CHECK_FAILED
    member = store.begin_new_epoch(folder, address, after_epoch + 1)
    plain_stdout.print(f"epoch {after_epoch + 1} begins from version {version}, as {member.id}")
    plain_stdout.print(f"{folder / store.NEW_EPOCHS_FILE} says so")
    return ExitCode.SUCCESS
