#!/bin/sh
# Builds the stand-ins of the scripts. They are Python without a library: only their syntax is checked.
cd "$(dirname "$0")" || exit 1
exec python3 - common/*.py [0-9]/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
