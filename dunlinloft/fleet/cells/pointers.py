"""Where members of other cells are, for strangers on the way to theirs while there is no directory.

As in Kademlia (Maymounkov, Mazieres 2002): a few addresses for each number of bits that a path shares with
the own one, so each step that a stranger is told of shares one bit more with it at least.
"""

from __future__ import annotations

from dunlinloft.fleet.cells.cut import shared_bits

MOST_POINTERS, MOST_ALONE = 3, 2  # addresses for each number of bits, and of those that see nobody there


class Pointers:
    """Addresses by how many bits their members share with this one."""

    def __init__(self, own_path: int) -> None:
        self._path = own_path
        self._known: dict[int, list[str]] = {}
        # Newcomers would crowd out those who know somebody there; but one of them may be the last that is.
        self._alone: dict[int, list[str]] = {}

    def add(self, bits: int, address: str, alone: bool = False) -> None:
        """Remember where those are who share so many bits with us; the last that are told stay."""
        known = (self._alone if alone else self._known).setdefault(bits, [])
        if address and address not in known:
            known.append(address)
            del known[: -(MOST_ALONE if alone else MOST_POINTERS)]

    def met(self, path: int, address: str, alone: bool = False) -> None:
        """Remember where a member with this path is."""
        self.add(shared_bits(path, self._path), address, alone)

    def toward(self, path: int) -> list[str]:
        """Whom a stranger with this path is told to ask."""
        bits = shared_bits(path, self._path)
        return [*self._known.get(bits, ()), *self._alone.get(bits, ())]

    def keep(self, depth: int) -> None:
        """Forget those who are of the own cell now, of so many bits."""
        self._known = {bits: known for bits, known in self._known.items() if bits < depth}
        self._alone = {bits: known for bits, known in self._alone.items() if bits < depth}
