"""The operators' log: events with names and fields, as text or as lines of JSON.

Each event has a name that stays when its wording changes, and its fields beside the text. What is not written
is not formatted: the text is put together only by the handler that writes it.
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
    """Log something that operators may want to know; `text` names its fields as `%(name)s`."""
    _write(logging.INFO, event, text, fields)


def warning(event: str, text: str, **fields: object) -> None:
    """Log something that operators should look at."""
    _write(logging.WARNING, event, text, fields)


def _write(level: int, event: str, text: str, fields: Fields) -> None:
    if _log.isEnabledFor(level):
        _log.log(level, text, *_arguments(fields), extra={"event": event})


def _arguments(fields: Fields) -> tuple[Fields, ...]:
    # An empty mapping is taken for an argument of its own, which the text does not name.
    return (fields,) if fields else ()


def exception(event: str, text: str, **fields: object) -> None:
    """Log an error that the node survives, with its traceback."""
    _log.error(text, *_arguments(fields), exc_info=True, extra={"event": event})


class JsonLines(logging.Formatter):
    """Formats each event as a JSON object: time, node, level, event, its fields, the text."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        """Return one event's JSON."""
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
    """Write to standard error from now on, in one of `FORMS`."""
    handler = logging.StreamHandler(sys.stderr)
    if form == JSON:
        handler.setFormatter(JsonLines(name))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
