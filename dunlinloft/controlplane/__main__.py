"""`python -m dunlinloft.controlplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

import gc

if __name__ == "__main__":
    gc.disable()  # nothing that imports make is garbage; `start` enables it
    from dunlinloft.controlplane.process import ControlPlane
    from dunlinloft.transport.program import start

    start(ControlPlane)
