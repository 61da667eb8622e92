"""Tests of `dunlinloft state`: inspecting a data directory without changing it, and beginning a new epoch."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner

from dunlinloft.cli import main
from dunlinloft.controlplane import data_directory
from dunlinloft.controlplane.member_cache import CachedMembers, MemberCache
from dunlinloft.controlplane.store import ReplicaStore
from dunlinloft.coordination.history import next_entry
from dunlinloft.coordination.records import CommittedRecord, EntryRecord, ViewRecord
from dunlinloft.coordination.state import ChangeKind, ConfigurationChange
from dunlinloft.coordination.stream import ServerRecord
from dunlinloft.coordination.views import Member, View, initial_view
from lab.control.cluster import Cluster
from lab.control.operators import empty_change


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A data directory with one committed configuration change."""
    store = ReplicaStore(tmp_path, "0")
    order = ConfigurationChange(
        ChangeKind.REPLACE, 0, "digest", {"version": 7, "routes": [{"name": "r"}], "services": []}
    )
    entry = next_entry(store.durable.state, 7, order)
    store.append(
        [
            ViewRecord(initial_view(("10.0.0.1:7000",))),
            EntryRecord(entry),
            CommittedRecord(entry.chain_digest),
        ]
    )
    store.close()
    server = ServerRecord("i-1", "pool", "10.0.0.9:80", "a", 4, "ready", 1)
    MemberCache(tmp_path).write(CachedMembers((server,)))
    return tmp_path


@dataclass(frozen=True)
class CommandResult:
    """Exit status and output of a command."""

    exit_code: int
    output: str


def run_state(*arguments: str) -> CommandResult:
    """Run `dunlinloft state` with the arguments."""
    result = CliRunner().invoke(main, ["state", *arguments])
    return CommandResult(result.exit_code, result.output)


def file_contents(folder: Path) -> dict[str, bytes]:
    """Return the contents of all files in a folder, by name."""
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_inspect_prints_what_a_directory_recovers_to_and_changes_nothing(folder: Path) -> None:
    before = file_contents(folder)
    result = run_state("inspect", str(folder), "--json")
    assert result.exit_code == 0
    summary = json.loads(result.output)
    assert (summary["version"], summary["sequence"], summary["committed"]) == (7, 1, True)
    assert (summary["epoch"], summary["chain"], summary["routes"]) == (1, ["10.0.0.1:7000/0"], 1)
    assert summary["log_records"] == {"ViewRecord": 1, "EntryRecord": 1, "CommittedRecord": 1}
    assert summary["servers_known"] == 1
    assert run_state("inspect", str(folder)).exit_code == 0
    assert file_contents(folder) == before


def test_verify_reports_the_offset_of_a_torn_end(folder: Path) -> None:
    assert run_state("verify", str(folder)).exit_code == 0
    found = data_directory.recover(folder)
    assert found is not None
    log = data_directory.log_path(folder, found.slot)
    complete = log.read_bytes()
    log.write_bytes(complete + b"torn")
    before = file_contents(folder)
    result = run_state("verify", str(folder))
    assert result.exit_code == 1
    assert f"4 bytes from byte {len(complete)} are not a complete block" in result.output
    assert "recovers to version 7" in result.output
    assert file_contents(folder) == before


@pytest.mark.parametrize("command", ["inspect", "verify"])
def test_a_directory_without_state_is_invalid(command: str, tmp_path: Path) -> None:
    result = run_state(command, str(tmp_path))
    assert result.exit_code == 2
    assert str(tmp_path)[:10] in result.output


def test_an_unsupported_format_is_reported(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(data_directory, "FORMAT_VERSION", 9)
    result = run_state("inspect", str(folder))
    assert result.exit_code == 2
    assert "format 1, expected 9" in result.output


def test_newest_reports_the_directory_with_the_latest_state(folder: Path, tmp_path: Path) -> None:
    empty = tmp_path / "empty"
    old = tmp_path / "old"
    empty.mkdir()
    ReplicaStore(old, "1").close()
    result = run_state("newest", str(old), str(folder), str(empty))
    assert result.exit_code == 0
    assert f"newest: {folder}; 2 histories; highest epoch 1" in result.output
    assert f"{empty}: no state" in result.output
    assert run_state("newest", str(empty)).exit_code == 2


def test_a_new_epoch_begins_only_after_the_operator_confirms_the_loss(folder: Path) -> None:
    before = file_contents(folder)
    unconfirmed = run_state("begin", str(folder), "--address", "10.0.0.9:7000", "--after-epoch", "6")
    assert unconfirmed.exit_code == 1
    too_old = run_state("begin", str(folder), "--address", "10.0.0.9:7000", "--after-epoch", "0")
    assert too_old.exit_code == 2
    assert file_contents(folder) == before
    arguments = ("begin", str(folder), "--address", "10.0.0.9:7000", "--after-epoch", "6")
    confirmed = run_state(*arguments, "--i-know-what-is-lost")
    assert confirmed.exit_code == 0, confirmed.output
    summary = json.loads(run_state("inspect", str(folder), "--json").output)
    assert (summary["epoch"], summary["version"], summary["committed"]) == (7, 7, True)
    assert summary["roster"] == summary["chain"] == [f"10.0.0.9:7000/{summary['incarnation']}"]
    assert summary["incarnation"] != "0"
    assert "epoch 7 begun from version 7" in (folder / "begun-anew.log").read_text()


def test_a_cluster_continues_from_a_new_epoch() -> None:
    cluster = Cluster(1)
    cluster.run(500.0)
    statuses: list[int] = []
    cluster.submit(empty_change(1, 0), statuses.append)
    cluster.run(500.0)
    for address in cluster.seeds[1:]:
        cluster.wipe(address)  # one disk more than replication tolerates
        cluster.start(address)
    cluster.kill(cluster.seeds[0])
    cluster.run(2_000.0)
    disk = cluster.machines[cluster.seeds[0]].durable
    assert disk is not None
    member = Member(cluster.seeds[0], "begun anew")
    disk.incarnation = member.incarnation
    disk.view = View(9, (member,), (member,), 1)
    cluster.start(cluster.seeds[0])
    cluster.run(4_000.0)
    cluster.submit(empty_change(2, 1), statuses.append)
    cluster.run(1_000.0)
    assert statuses == [200, 200]
