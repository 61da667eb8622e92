"""The final response that the node generates itself instead of relaying one from a server."""

from __future__ import annotations

from aiohttp.web_response import Response

from dunlinloft.dataplane.causes import Cause


class Refusal(Response):
    """A final response of the node's own; `cause` is the label under which metrics count it.

    Parameters
    ----------
    retry_after_s
        Value of the `Retry-After` header; without it the header is not sent.
    """

    def __init__(self, status: int, cause: Cause, text: str, retry_after_s: float | None = None) -> None:
        headers = {} if retry_after_s is None else {"Retry-After": f"{retry_after_s:.3f}"}
        super().__init__(status=status, text=text, headers=headers)
        self.cause = cause
