"""`python -m dunlinloft.controlplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

from dunlinloft.controlplane.process import ControlPlane
from dunlinloft.transport.program import start

if __name__ == "__main__":
    start(ControlPlane)
