#!/bin/sh
# Checks what the scripts need: the program of deploy/system.toml, and the stand-ins, which are Python
# with nothing but its standard library (3.11 or later).
cd "$(dirname "$0")" || exit 1
test -x ../target/release/agateloomd || { echo "build deploy/system.toml first" >&2; exit 1; }
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 - standins/world.py ?/case.py findings/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
