"""The errors that callers of more than one package handle. Each is raised with a text for operators."""

from __future__ import annotations


class DunlinloftError(Exception):
    """Base of the router's own errors; never raised itself."""


class SettingsError(DunlinloftError):
    """A process's settings can't be used; the text says where and what was expected."""


class ConfigurationError(DunlinloftError):
    """An operator's configuration doesn't fit its types; the text has the path."""
