from collections.abc import Iterator

from elftools.elf.elffile import Section

class DynamicTag:
    needed: str

class DynamicSection(Section):
    def iter_tags(self, type: str | None = None) -> Iterator[DynamicTag]: ...
