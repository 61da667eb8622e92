"""Exit statuses of all commands; operators' scripts rely on the numbers."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit status says. Each command's help tells what counts as a failed check."""

    SUCCESS = 0
    CHECK_FAILED = 1  # the command ran, and what it looked at is not as it should be
    INVALID_INPUT = 2  # nothing could be looked at: an unreadable file or directory, a bad option, no answer
