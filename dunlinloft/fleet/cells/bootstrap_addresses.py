"""Addresses of members of other cells, for a member on the way to its own while there is no directory.

As in Kademlia (Maymounkov, Mazieres 2002): a few addresses for each length of the prefix that a path has in
common with our own, so each address that is given out has at least one bit more in common with the path of
the member that needs it.
"""

from __future__ import annotations

from dunlinloft.fleet.cells.partition import shared_bits

MAX_ADDRESSES = 3  # for each prefix length
MAX_ISOLATED_ADDRESSES = 2  # for each prefix length, of members that see nobody else


class BootstrapAddresses:
    """Addresses of other members by the number of leading path bits shared with this one.

    Owned by `CellMembership`.
    """

    def __init__(self, own_path: int) -> None:
        self._own_path = own_path
        self._connected: dict[int, list[str]] = {}
        # Kept apart, as newcomers would crowd out members that see others of their cell; but an isolated
        # member may be the last one of its cell.
        self._isolated: dict[int, list[str]] = {}

    def add(self, bits: int, address: str, is_isolated: bool = False) -> None:
        """Store the address of a member that shares so many leading bits with us; the latest are kept."""
        known = (self._isolated if is_isolated else self._connected).setdefault(bits, [])
        if address and address not in known:
            known.append(address)
            del known[: -(MAX_ISOLATED_ADDRESSES if is_isolated else MAX_ADDRESSES)]

    def add_member(self, path: int, address: str, is_isolated: bool = False) -> None:
        """Store the address of a member with this path."""
        self.add(shared_bits(path, self._own_path), address, is_isolated)

    def addresses_toward(self, path: int) -> list[str]:
        """Addresses that bring a member with this path nearer to its cell."""
        bits = shared_bits(path, self._own_path)
        return [*self._connected.get(bits, ()), *self._isolated.get(bits, ())]

    def discard_from_depth(self, depth: int) -> None:
        """Drop those that belong to our own cell, whose prefix has `depth` bits now."""
        self._connected = {bits: known for bits, known in self._connected.items() if bits < depth}
        self._isolated = {bits: known for bits, known in self._isolated.items() if bits < depth}
