"""How all tables look."""

from __future__ import annotations

from typing import Any

from rich import box

PLAIN: dict[str, Any] = {"box": box.SIMPLE_HEAD, "padding": (0, 1), "pad_edge": False}
