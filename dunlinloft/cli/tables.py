"""The style shared by all printed tables."""

from __future__ import annotations

from typing import TypedDict

from rich import box


class TableStyle(TypedDict):
    """Keyword arguments that all tables pass to `rich.table.Table`."""

    box: box.Box
    padding: tuple[int, int]
    pad_edge: bool


PLAIN_STYLE: TableStyle = {"box": box.SIMPLE_HEAD, "padding": (0, 1), "pad_edge": False}
