"""A node's part in cells: its membership in one, its wire, and its place among all of its service.

Imported only where the configuration's `fleet` has `cells`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from dunlinloft.fleet.cells.core import CellMembership, Place
from dunlinloft.fleet.cells.cut import path
from dunlinloft.fleet.cells.totals import BOUND_MS, CellCensus
from dunlinloft.fleet.cells.wire import CellWire
from dunlinloft.fleet.messages import MetadataValue
from dunlinloft.node import logs
from dunlinloft.node.config import CellsConfig, FleetConfig, now_ms

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Own


class Member(CellMembership):
    """One whose budgets are parted by its census."""

    census: CellCensus

    def counted(self) -> int:
        return self.census.cell()


class CellHost:
    """This process in its cell."""

    def __init__(
        self, own: Own, fleet: FleetConfig, cells: CellsConfig, uid: int, life: int, rng: random.Random,
        facts: dict[str, MetadataValue],
    ) -> None:  # fmt: skip
        place = Place(cells.service, cells.region, cells.most, list(cells.directory))
        self.core = Member(own.name, fleet.advertise, fleet.seeds, uid, life, rng, facts, place)
        self.census = self.core.census = CellCensus(own.name, own.number, own.nodes)
        self.wire = CellWire(fleet.name, cells.service, cells.region, lambda: self.core.cut)
        self._fallback: bool | None = None

    def was_cut(self) -> None:
        """The cell is another: who is not of it any more is counted by its own."""
        cut = self.core.cut
        self.census.retain(lambda name: cut.holds(path(name)))

    def see(self, here: set[str], now: float) -> None:
        """Take in who is there, and what the directory says of the others."""
        self.census.observe(here, now, self.core.totals, self.core.cut)
        if self.census.fallback != self._fallback:
            self._fallback = self.census.fallback
            text = "what the directory says is too old: parts of budgets do not grow"
            logs.info("cells fallback", text if self._fallback else "the directory's sums are in use")

    def age_ms(self) -> float | None:
        """Of what the directory said last; None where it has said nothing."""
        totals = self.core.totals
        return totals.age_ms(now_ms()) if totals is not None else None

    # What operators see

    def figures(self) -> dict[str, Callable[[], int]]:
        """Gauges beside the fleet's."""
        return {
            "fleet_cuts": lambda: self.core.cuts,
            "fleet_cells_fallback": lambda: int(self.census.fallback),
            "fleet_cells_age_ms": lambda: int(self.age_ms() or 0.0),
            "fleet_service_members": lambda: self.census.total(),
        }

    def show(self) -> tuple[int, dict[str, Any]]:
        """All that the admin endpoint tells of the cell."""
        core, totals, age = self.core, self.core.totals, self.age_ms()
        number, nodes = self.census.position()
        found = totals.found if totals is not None else None
        return 200, {
            "service": core.place.service, "region": core.place.region, "most": core.place.most,
            "cell": core.cut.text(), "epoch": core.cut.epoch, "members": core.alive_count(),
            "counted": self.census.cell(), "reporter": core.reporter(), "cuts": core.cuts,
            "strays": core.strays, "place": {"number": number, "nodes": nodes},
            "fallback": self.census.fallback,
            "directory": {
                "addresses": core.place.directory,
                "unanswered": core.unanswered(),
                "age_s": round(age / 1000.0, 1) if age is not None else None,
                "bound_s": BOUND_MS / 1000.0,
                "sure": found is not None and found.sure,
                "service_members": found.total if found is not None else None,
                "cells": found.cells if found is not None else None,
            },
        }  # fmt: skip
