"""Entry point of `python -m dunlinloft.controlplane`; DUNLINLOFT_CONFIG names the settings file."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinloft.settings import Settings
    from dunlinloft.transport.program import Program


def load(settings: Settings) -> Program:
    """Build the program. Its modules are imported here, after the settings have been validated."""

    from dunlinloft.controlplane.process import ControlPlane

    return ControlPlane(settings)


if __name__ == "__main__":
    gc.disable()  # imports create no garbage worth collecting; `run_program` enables the collector
    from dunlinloft.transport.program import run_program

    run_program(load)
