"""`python -m dunlinloft.dataplane`: the settings are in the file that DUNLINLOFT_CONFIG names."""

from __future__ import annotations

import gc

if __name__ == "__main__":
    gc.disable()  # nothing that imports make is garbage; `start` enables it
    from dunlinloft.transport.light import import_aiohttp

    import_aiohttp()
    from dunlinloft.dataplane.process import DataPlane
    from dunlinloft.transport.program import start

    start(DataPlane)
