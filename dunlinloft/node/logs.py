"""Structured logging for operators: events with names and fields, as text or as JSON lines.

The name of an event is stable, while its text may change. The text is formatted by the handler that writes
it, so events below the log level cost no formatting.
"""

from __future__ import annotations

import json
import logging
import sys
from collections.abc import Mapping
from typing import TypeAlias

TEXT, JSON = "text", "json"
FORMATS = {TEXT: TEXT, JSON: JSON}

Fields: TypeAlias = Mapping[str, object]

_log = logging.getLogger("dunlinloft.node")


def info(event: str, text: str, **fields: object) -> None:
    """Log an event at level info; `text` refers to its fields as `%(name)s`."""
    _write(logging.INFO, event, text, fields)


def warning(event: str, text: str, **fields: object) -> None:
    """Log an event that operators should look at."""
    _write(logging.WARNING, event, text, fields)


def _write(level: int, event: str, text: str, fields: Fields) -> None:
    if _log.isEnabledFor(level):
        _log.log(level, text, *_arguments(fields), extra={"event": event})


def _arguments(fields: Fields) -> tuple[Fields, ...]:
    # `logging` would format an empty mapping as a positional argument, which the text doesn't have.
    return (fields,) if fields else ()


def exception(event: str, text: str, **fields: object) -> None:
    """Log the current exception with its traceback; the node goes on."""
    _log.error(text, *_arguments(fields), exc_info=True, extra={"event": event})


class JsonLines(logging.Formatter):
    """Formats each event as a JSON object: time, node, level, event, its fields, the text."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        """Return the event as a line of JSON."""
        entry: dict[str, object] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}",
            "node": self._name,
            "level": record.levelname.lower(),
            "event": getattr(record, "event", record.name),
        }
        if isinstance(record.args, dict):
            entry |= {key: value for key, value in record.args.items() if key not in entry}
        entry["text"] = record.getMessage()
        if record.exc_info:
            entry["trace"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str, separators=(",", ":"))


def setup(name: str, form: str) -> None:
    """Log to standard error from now on, in one of `FORMATS`."""
    handler = logging.StreamHandler(sys.stderr)
    if form == JSON:
        handler.setFormatter(JsonLines(name))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
