"""A node's part in cells: its membership in one, its wire, and its position among all members of its service.

Imported only where the configuration's `fleet` has `cells`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from dunlinloft.fleet.cells.core import CellMembership
from dunlinloft.fleet.cells.member_count import CellMemberCount
from dunlinloft.fleet.cells.partition import name_path
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.cells.settings import CellSettings
from dunlinloft.fleet.cells.wire import CellWire
from dunlinloft.fleet.messages import MetadataValue
from dunlinloft.node import logs
from dunlinloft.node.admin_reply import AdminReply
from dunlinloft.node.clock import now_ms
from dunlinloft.node.fleet_config import CellsConfig, FleetConfig

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import MemberIdentity


class CellMember(CellMembership):
    """A member whose budgets are divided by its host's count of members."""

    member_count: CellMemberCount

    def counted_members(self) -> int:
        """Return how many members of the cell share budgets."""
        return self.member_count.cell()


class CellHost:
    """This process in its cell."""

    def __init__(
        self,
        identity: MemberIdentity,
        fleet: FleetConfig,
        cells: CellsConfig,
        uid: int,
        incarnation: int,
        rng: random.Random,
        metadata: dict[str, MetadataValue],
    ) -> None:
        settings = CellSettings(cells.service, cells.region, cells.max_members, list(cells.directory))
        self.core = CellMember(
            identity.name, fleet.advertise, fleet.seeds, uid, incarnation, rng, metadata, settings
        )
        self.member_count = self.core.member_count = CellMemberCount(
            identity.name, identity.number, identity.nodes
        )
        self.wire = CellWire(fleet.name, cells.service, cells.region, lambda: self.core.partition)
        self._fallback: bool | None = None

    def on_partition_changed(self) -> None:
        """The cell is another: who is not of it any more is counted by its own."""
        partition = self.core.partition
        self.member_count.retain(lambda name: partition.includes_path(name_path(name)))

    def observe_members(self, alive: set[str], now: float) -> None:
        """Take in who is there, and what the directory says of the others."""
        self.member_count.observe(alive, now, self.core.service_totals, self.core.partition)
        if self.member_count.uses_fallback != self._fallback:
            self._fallback = self.member_count.uses_fallback
            text = "what the directory says is too old: parts of budgets do not grow"
            logs.info("cells fallback", text if self._fallback else "the directory's sums are in use")

    def age_ms(self) -> float | None:
        """Of what the directory said last; None where it has said nothing."""
        totals = self.core.service_totals
        return totals.age_ms(now_ms()) if totals is not None else None

    # What operators see

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Gauges beside the fleet's."""
        return {
            "fleet_cuts": lambda: self.core.partition_changes,
            "fleet_cells_fallback": lambda: int(self.member_count.uses_fallback),
            "fleet_cells_age_ms": lambda: int(self.age_ms() or 0.0),
            "fleet_service_members": lambda: self.member_count.total(),
        }

    def status(self) -> AdminReply:
        """All that the admin endpoint tells of the cell."""
        core, totals, age = self.core, self.core.service_totals, self.age_ms()
        number, nodes = self.member_count.position()
        found = totals.response if totals is not None else None
        return AdminReply(200, {
            "service": core.settings.service, "region": core.settings.region,
            "most": core.settings.max_members,
            "cell": core.partition.text(), "epoch": core.partition.epoch, "members": core.alive_count(),
            "counted": self.member_count.cell(), "reporter": core.is_reporter(),
            "cuts": core.partition_changes,
            "strays": core.foreign_messages, "place": {"number": number, "nodes": nodes},
            "fallback": self.member_count.uses_fallback,
            "directory": {
                "addresses": core.settings.directory,
                "unanswered": core.lookup.consecutive_timeouts,
                "age_s": round(age / 1000.0, 1) if age is not None else None,
                "bound_s": MAX_REPORT_AGE_MS / 1000.0,
                "sure": found is not None and found.is_reliable,
                "service_members": found.service_members if found is not None else None,
                "cells": found.cell_count if found is not None else None,
            },
        })  # fmt: skip
