"""The data plane's exceptions, in one hierarchy.

Expected outcomes on the request path (a failed attempt, an exceeded quota, no placement) are returned as
values: `AttemptFailure`, `OverQuota`, `NoPlacement`. Only what unwinds several calls is raised.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinloft.exceptions import DunlinloftError

if TYPE_CHECKING:
    from dunlinloft.dataplane.refusal import Refusal


class DataPlaneError(DunlinloftError):
    """Base of all exceptions that the data plane raises."""


class RequestRefused(DataPlaneError):
    """The frontend refuses a request before anything is forwarded.

    Raised while a request is read and matched; caught only by `Frontend.handle`.
    """

    def __init__(self, response: Refusal) -> None:
        super().__init__(response.status)
        self.response = response
