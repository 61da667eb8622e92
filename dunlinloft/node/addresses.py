"""Network addresses in settings, written as host:port."""

from __future__ import annotations

from dunlinloft.balancer.settings import Json, Location, MalformedInput, required

Address = tuple[str, int]

MAX_PORT = 65_535
EXAMPLE_ADDRESS = "127.0.0.1:9000"
EXAMPLE_PEER_ADDRESS = "127.0.0.1:7400"


def parse_address(text: str) -> Address:
    """Split host:port. Raises `Malformed`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise MalformedInput(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)


def address_at(obj: Json, key: str) -> Address:
    """Return the address at a key of an object. Raises `Malformed`."""
    text = required(obj, key, str)
    try:
        return parse_address(text)
    except MalformedInput as error:
        raise MalformedInput(f"{key!r}: {error}", Location(obj, key, EXAMPLE_ADDRESS)) from None
