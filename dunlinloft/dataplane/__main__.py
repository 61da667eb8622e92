"""`python -m dunlinloft.dataplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinloft.settings import Settings
    from dunlinloft.transport.program import Program


def load(settings: Settings) -> Program:
    """The program; what it needs is imported here."""
    from dunlinloft.transport.aiohttp_import import import_aiohttp

    import_aiohttp()
    from dunlinloft.dataplane.process import DataPlane

    return DataPlane(settings)


if __name__ == "__main__":
    gc.disable()  # nothing that imports make is garbage; `run_program` enables it
    from dunlinloft.transport.program import run_program

    run_program(load)
