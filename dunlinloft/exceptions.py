"""Exceptions shared between packages. Each carries a message for operators."""

from __future__ import annotations


class DunlinloftError(Exception):
    """Base class of the product's exceptions; never raised directly."""


class SettingsError(DunlinloftError):
    """A process's settings can't be used; the message names the file and the cause."""


class ConfigurationError(DunlinloftError):
    """An operator's configuration is invalid; the message contains the path of the offending field."""
