"""Requests to a node's admin endpoint."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any, TypeAlias, TypeVar

import msgspec
from msgspec import Struct
from rich.console import Group
from rich.live import Live
from rich.markup import escape

from dunlinloft.cli.consoles import stdout
from dunlinloft.cli.exit_codes import ExitCode
from dunlinloft.exceptions import DunlinloftError

REQUEST_TIMEOUT_S = 3.0  # short, as an operator is waiting and the endpoint responds from memory
WATCH_INTERVAL_S = 1.0  # between refreshes of a live display

# A JSON object of the admin endpoint, as `--json` prints it.
AdminDocument: TypeAlias = dict[str, Any]
View = TypeVar("View", bound=Struct)  # a type of `dunlinloft.cli.admin_documents`


class AdminRequestError(DunlinloftError):
    """A request to the admin endpoint failed; the message gives the reason."""


def request_document(admin: str, path: str = "/admin/fleet", method: str = "GET") -> AdminDocument:
    """Request the JSON object at a path of the admin endpoint `admin` (host:port).

    Raises `AdminRequestError` if the endpoint is unreachable, rejects the request or returns no JSON object.
    """
    try:
        request = urllib.request.Request(f"http://{admin}{path}", method=method)
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
            document = json.load(response)
    except urllib.error.HTTPError as error:
        if error.code == 404:
            raise AdminRequestError(
                f"{admin}: this node does not serve this document; check `fleet` in its configuration"
            ) from None
        raise AdminRequestError(f"{admin}: {_rejection_reason(error)}") from None
    except (OSError, ValueError) as error:
        reason = getattr(error, "reason", error)
        raise AdminRequestError(f"{admin}: admin endpoint not reachable: {reason}") from None
    if not isinstance(document, dict):
        raise AdminRequestError(f"{admin}: the endpoint's response is not a JSON object")
    return document


def decode_document(document: AdminDocument, view: type[View]) -> View:
    """Decode the fields that a command reads. Raises `AdminRequestError` if their types don't match."""
    try:
        return msgspec.convert(document, view)
    except msgspec.ValidationError as error:
        raise AdminRequestError(f"the endpoint's document can't be decoded: {error}") from None


def _rejection_reason(error: urllib.error.HTTPError) -> str:
    """Return the endpoint's error text, with the responsible member if it names one."""
    try:
        document = json.load(error)
        owner = f" (ask {document['holder']})" if document.get("holder") else ""
        return f"{document['error']}{owner}"
    except (OSError, ValueError, KeyError, TypeError):
        return f"the endpoint responded with HTTP status {error.code}"


def watch_document(admin: str, path: str, view: type[View], render: Callable[[View], Group]) -> ExitCode:
    """Display the document at a path and refresh it until Ctrl-C."""
    try:
        with Live(console=stdout, auto_refresh=False) as live:
            while True:
                try:
                    document = decode_document(request_document(admin, path), view)
                    live.update(render(document), refresh=True)
                except AdminRequestError as error:
                    live.update(f"[red]{escape(str(error))}[/]", refresh=True)
                time.sleep(WATCH_INTERVAL_S)
    except KeyboardInterrupt:
        return ExitCode.SUCCESS
