"""Exit statuses of all commands; operators' scripts rely on the numbers."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit statuses. Each command's help defines what counts as a failed check."""

    SUCCESS = 0
    CHECK_FAILED = 1  # the command ran and found a problem
    INVALID_INPUT = 2  # nothing could be checked: unreadable file or directory, invalid option, no response
