"""The progress bar of commands that run many seeds."""

from __future__ import annotations

from rich.progress import BarColumn, TextColumn

PERCENT_COLUMNS = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f}%"))
