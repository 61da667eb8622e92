"""`python -m dunlinloft.controlplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinloft.settings import Settings
    from dunlinloft.transport.program import Program


def load(settings: Settings) -> Program:
    """Build the program; what it needs is imported here, once the settings are known to be usable."""

    from dunlinloft.controlplane.process import ControlPlane

    return ControlPlane(settings)


if __name__ == "__main__":
    gc.disable()  # nothing that imports make is garbage; `run_program` enables it
    from dunlinloft.transport.program import run_program

    run_program(load)
