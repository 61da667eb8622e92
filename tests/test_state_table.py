"""The state table keeps acknowledged rows or reports a possible loss, and a successor reads it back."""

from __future__ import annotations

import pytest

from dunlinloft.fleet.leases.table_primary import TablePrimary
from dunlinloft.fleet.leases.table_read import ReadResult
from dunlinloft.fleet.leases.table_rows import MAX_ROWS, STATE_TABLE_ROLE
from lab.virtual.duties import World
from lab.virtual.scene import InvariantViolation
from tests.lease_world import inject_random_faults, write_rows


def test_no_acknowledged_row_is_lost_under_random_faults() -> None:
    kept = openings = 0
    for seed in range(12):
        world = World(seed, 7, 5 if seed % 3 else 3, duties=1, loss=0.1 * (seed % 2), ledger=True)
        world.run(8_000.0)
        for _ in range(6):
            inject_random_faults(world, 2_000.0)
            write_rows(world, 2_500.0)
        assert not world.table_oracle.losses
        kept, openings = kept + world.table_oracle.kept, openings + world.table_oracle.openings
    assert kept > 300 and openings > 40, (kept, openings)


def test_a_table_whose_majority_restarted_reports_lost_rows_and_goes_on() -> None:
    world = World(5, 5, 5, duties=0, ledger=True)
    assert world.run(20_000.0, lambda: world.table_oracle.openings > 0) < 20_000.0
    write_rows(world, 3_000.0)
    assert world.table_oracle.kept > 5
    holder = world.holders(STATE_TABLE_ROLE)[0]
    for name in world.names[:3]:  # a majority restarts simultaneously
        world.kill(name)
        world.start(name)
    if holder not in world.names[:3]:
        world.kill(holder)
        world.start(holder)
    before = world.table_oracle.openings
    assert world.run(40_000.0, lambda: world.table_oracle.openings > before) < 40_000.0
    assert world.table_oracle.losses == 1
    write_rows(world, 2_000.0)
    assert world.table_oracle.acked  # the table accepts writes again


def test_a_primary_that_writes_before_it_reads_is_caught() -> None:
    def start(self: TablePrimary, token: int) -> None:
        original(self, token)
        patch.setattr(self._read, "result", lambda: ReadResult(0, 0, False, {}))
        self._restore()

    original = TablePrimary.start
    with pytest.MonkeyPatch.context() as patch, pytest.raises(InvariantViolation, match="finds entry"):
        patch.setattr(TablePrimary, "start", start)
        for seed in range(6):
            world = World(seed, 5, 3, duties=0, ledger=True)
            world.run(8_000.0)
            write_rows(world, 2_000.0)
            for name in world.holders(STATE_TABLE_ROLE):
                world.kill(name)
            world.run(15_000.0)


def test_a_full_table_is_read_back_and_takes_no_further_row() -> None:
    world = World(2, 5, 5, duties=0, ledger=True)
    assert world.run(20_000.0, lambda: world.table_oracle.openings > 0) < 20_000.0
    for n in range(MAX_ROWS):
        world.table_oracle.enter(f"row/{n}")
        if n % 20 == 0:
            world.run(40.0)
    world.run(2_000.0)
    assert world.table_oracle.kept == MAX_ROWS
    world.table_oracle.enter("one too many")
    world.run(500.0)
    assert world.table_oracle.kept == MAX_ROWS
    holder = world.holders(STATE_TABLE_ROLE)[0]
    world.kill(holder)
    assert world.run(30_000.0, lambda: world.table_oracle.openings > 1) < 30_000.0
    assert world.table_oracle.open_ms[-1] < 5_000.0
