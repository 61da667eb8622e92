"""The terminal that handlers write to, and how they report an error."""

from __future__ import annotations

from rich.console import Console
from rich.markup import escape

from dunlinloft.cli.exit_codes import ExitCode

stdout = Console()
stderr = Console(stderr=True, soft_wrap=True)
# For lines that a script or a person copies: neither coloured by content nor broken at the terminal's width.
plain_stdout = Console(highlight=False, soft_wrap=True)


def report_invalid_input(problem: Exception | str) -> ExitCode:
    """Print an error to standard error; returns the exit status for invalid input."""
    stderr.print(f"[red]{escape(str(problem))}[/]", highlight=False)
    return ExitCode.INVALID_INPUT
