"""What a check says of a configuration change: a verdict type for each outcome, never an exception."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from dunlinloft.coordination.state import ConfigurationChange, Document


@dataclass(frozen=True, slots=True)
class Valid:
    """A change that may be applied."""

    version: int  # of the document once it is applied


@dataclass(frozen=True, slots=True)
class Invalid:
    """A change that must not be applied, with the reason for the operator."""

    reason: str


Validator = Callable[[Document, ConfigurationChange], Valid | Invalid]
"""Checks a change against the document that it builds on."""
