"""The result types of validating a configuration change; validators return them and raise no exceptions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.state import ConfigurationChange, Document


@dataclass(frozen=True, slots=True)
class Valid:
    """The change may be applied."""

    version: int  # of the resulting document


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change must not be applied; the reason is reported to the operator."""

    reason: str


Validator = Callable[[Document, ConfigurationChange], Valid | Invalid]
"""Validates a change against the document that it applies to."""
