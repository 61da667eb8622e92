"""A node's part in cells: its membership in one, its wire, and its place among all of its service.

Imported only where the configuration's `fleet` has `cells`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.partition import name_path
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.cells.settings import CellSettings
from dunlinloft.fleet.cells.wire import CellWire
from dunlinloft.fleet.messages import MetadataValue
from dunlinloft.node import logs
from dunlinloft.node.config import CellsConfig, FleetConfig, now_ms

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Own


class Member(CellMembership):
    """One whose budgets are parted by its census."""

    census: CellMemberCount

    def counted_members(self) -> int:
        return self.census.cell()


class CellHost:
    """This process in its cell."""

    def __init__(
        self, own: Own, fleet: FleetConfig, cells: CellsConfig, uid: int, life: int, rng: random.Random,
        facts: dict[str, MetadataValue],
    ) -> None:  # fmt: skip
        place = CellSettings(cells.service, cells.region, cells.most, list(cells.directory))
        self.core = Member(own.name, fleet.advertise, fleet.seeds, uid, life, rng, facts, place)
        self.census = self.core.census = CellMemberCount(own.name, own.number, own.nodes)
        self.wire = CellWire(fleet.name, cells.service, cells.region, lambda: self.core.partition)
        self._fallback: bool | None = None

    def was_cut(self) -> None:
        """The cell is another: who is not of it any more is counted by its own."""
        cut = self.core.partition
        self.census.retain(lambda name: cut.includes_path(name_path(name)))

    def see(self, here: set[str], now: float) -> None:
        """Take in who is there, and what the directory says of the others."""
        self.census.observe(here, now, self.core.service_totals, self.core.partition)
        if self.census.uses_fallback != self._fallback:
            self._fallback = self.census.uses_fallback
            text = "what the directory says is too old: parts of budgets do not grow"
            logs.info("cells fallback", text if self._fallback else "the directory's sums are in use")

    def age_ms(self) -> float | None:
        """Of what the directory said last; None where it has said nothing."""
        totals = self.core.service_totals
        return totals.age_ms(now_ms()) if totals is not None else None

    # What operators see

    def figures(self) -> dict[str, Callable[[], int]]:
        """Gauges beside the fleet's."""
        return {
            "fleet_cuts": lambda: self.core.partition_changes,
            "fleet_cells_fallback": lambda: int(self.census.uses_fallback),
            "fleet_cells_age_ms": lambda: int(self.age_ms() or 0.0),
            "fleet_service_members": lambda: self.census.total(),
        }

    def show(self) -> tuple[int, dict[str, Any]]:
        """All that the admin endpoint tells of the cell."""
        core, totals, age = self.core, self.core.service_totals, self.age_ms()
        number, nodes = self.census.position()
        found = totals.response if totals is not None else None
        return 200, {
            "service": core.settings.service, "region": core.settings.region,
            "most": core.settings.max_members,
            "cell": core.partition.text(), "epoch": core.partition.epoch, "members": core.alive_count(),
            "counted": self.census.cell(), "reporter": core.is_reporter(), "cuts": core.partition_changes,
            "strays": core.foreign_messages, "place": {"number": number, "nodes": nodes},
            "fallback": self.census.uses_fallback,
            "directory": {
                "addresses": core.settings.directory,
                "unanswered": core.lookup.consecutive_timeouts,
                "age_s": round(age / 1000.0, 1) if age is not None else None,
                "bound_s": MAX_REPORT_AGE_MS / 1000.0,
                "sure": found is not None and found.is_reliable,
                "service_members": found.service_members if found is not None else None,
                "cells": found.cell_count if found is not None else None,
            },
        }  # fmt: skip
