"""Addresses of members of other cells, which help a member to find its own cell without a directory.

As in Kademlia (Maymounkov, Mazieres 2002), a few addresses are kept for each length of the common prefix with
this member's path, so every address that is returned shares at least one more bit with the path of the member
that asks for it.
"""

from __future__ import annotations

from dunlinloft.fleet.cells.partition import shared_bits

MAX_ADDRESSES = 3  # per prefix length
MAX_ISOLATED_ADDRESSES = 2  # per prefix length, of members that see no other member


class BootstrapAddresses:
    """Addresses of other members by the number of leading path bits shared with this one.

    Owned by `CellMembership`.
    """

    def __init__(self, own_path: int) -> None:
        self._own_path = own_path
        self._connected: dict[int, list[str]] = {}
        # Kept separately, as new members would displace those that see others of their cell. They are kept at
        # all because an isolated member may be the last one of its cell.
        self._isolated: dict[int, list[str]] = {}

    def add(self, bits: int, address: str, is_isolated: bool = False) -> None:
        """Store the address of a member whose path shares `bits` leading bits; the latest are kept."""
        known = (self._isolated if is_isolated else self._connected).setdefault(bits, [])
        if address and address not in known:
            known.append(address)
            del known[: -(MAX_ISOLATED_ADDRESSES if is_isolated else MAX_ADDRESSES)]

    def add_member(self, path: int, address: str, is_isolated: bool = False) -> None:
        """Store the address of a member with this path."""
        self.add(shared_bits(path, self._own_path), address, is_isolated)

    def addresses_toward(self, path: int) -> list[str]:
        """Return addresses closer to the cell of a member with this path."""
        bits = shared_bits(path, self._own_path)
        return [*self._connected.get(bits, ()), *self._isolated.get(bits, ())]

    def discard_from_depth(self, depth: int) -> None:
        """Drop the addresses that belong to this member's cell, whose prefix now has `depth` bits."""
        self._connected = {bits: known for bits, known in self._connected.items() if bits < depth}
        self._isolated = {bits: known for bits, known in self._isolated.items() if bits < depth}
