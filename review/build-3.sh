#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python scripts that use
# the standard library only, so that nothing is compiled for them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for pattern in ("standins-3/*.py", "1[1-5]/case.py"):
    for path in sorted(pathlib.Path(".").glob(pattern)):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
