"""Consoles that handlers print to, and error reporting."""

from __future__ import annotations

from rich.console import Console
from rich.markup import escape

from dunlinloft.cli.exit_codes import ExitCode

stdout = Console()
stderr = Console(stderr=True, soft_wrap=True)
# For output that is copied or read by scripts: no highlighting, no wrapping at the terminal's width.
plain_stdout = Console(highlight=False, soft_wrap=True)


def report_invalid_input(problem: Exception | str) -> ExitCode:
    """Print an error to standard error; returns the exit status for invalid input."""
    stderr.print(f"[red]{escape(str(problem))}[/]", highlight=False)
    return ExitCode.INVALID_INPUT
