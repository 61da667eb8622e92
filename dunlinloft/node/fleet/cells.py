"""Hosts a node's cell: its membership, its wire format and its position among all members of its service.

Imported only if the configuration's `fleet` has `cells`.
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
    """A member whose budgets are divided by the member count of its host."""

    member_count: CellMemberCount

    def counted_members(self) -> int:
        """Return the number of the cell's members that share budgets."""
        return self.member_count.cell()


class CellHost:
    """Hosts the membership of this process in its cell."""

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
        """Drop members that are no longer of this cell from the count: their own cell counts them."""
        partition = self.core.partition
        self.member_count.retain(lambda name: partition.includes_path(name_path(name)))

    def observe_members(self, alive: set[str], now: float) -> None:
        """Update the count from the members alive, and the directory's totals for other cells."""
        self.member_count.observe(alive, now, self.core.service_totals, self.core.partition)
        if self.member_count.uses_fallback != self._fallback:
            self._fallback = self.member_count.uses_fallback
            text = "the directory's totals are too old: shares of budgets do not grow"
            logs.info("cells fallback", text if self._fallback else "the directory's totals are in use")

    def age_ms(self) -> float | None:
        """Return the age of the directory's last totals; None if there are none."""
        totals = self.core.service_totals
        return totals.age_ms(now_ms()) if totals is not None else None

    # Metrics and status for operators

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Return the gauges of the cell by name."""
        return {
            "fleet_cuts": lambda: self.core.partition_changes,
            "fleet_cells_fallback": lambda: int(self.member_count.uses_fallback),
            "fleet_cells_age_ms": lambda: int(self.age_ms() or 0.0),
            "fleet_service_members": lambda: self.member_count.total(),
        }

    def status(self) -> AdminReply:
        """Return the status of the cell for the admin endpoint."""
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
