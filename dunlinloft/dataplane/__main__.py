"""Entry point of `python -m dunlinloft.dataplane`; DUNLINLOFT_CONFIG names the settings file."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinloft.settings import Settings
    from dunlinloft.transport.program import Program


def load(settings: Settings) -> Program:
    """Build the program. Imports its modules only now, after the settings have been validated."""
    from dunlinloft.transport.aiohttp_import import import_aiohttp

    import_aiohttp()
    from dunlinloft.dataplane.process import DataPlane

    return DataPlane(settings)


if __name__ == "__main__":
    gc.disable()  # imports create no garbage; `run_program` enables the collector again
    from dunlinloft.transport.program import run_program

    run_program(load)
