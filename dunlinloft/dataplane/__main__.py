"""`python -m dunlinloft.dataplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

from dunlinloft.dataplane.process import DataPlane
from dunlinloft.transport.program import start

if __name__ == "__main__":
    start(DataPlane)
