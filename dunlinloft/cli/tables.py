"""The appearance that all printed tables share."""

from __future__ import annotations

from typing import TypedDict

from rich import box


class TableStyle(TypedDict):
    """The keyword arguments of `rich.table.Table` that all tables are made with."""

    box: box.Box
    padding: tuple[int, int]
    pad_edge: bool


PLAIN_STYLE: TableStyle = {"box": box.SIMPLE_HEAD, "padding": (0, 1), "pad_edge": False}
