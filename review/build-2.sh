#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the project's programs. The stand-ins are plain
# Python, from the standard library alone: there is nothing to compile, and it is only checked that they load.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib

for path in sorted([*pathlib.Path("rig2").glob("*.py"), *pathlib.Path(".").glob("[4-8]/*.py")]):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
import rig2.fleet, rig2.http, rig2.servers
PYTHON
