#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python scripts, as are
# those of tests/soak that they use, so there is nothing to compile: this checks
# that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
names = [pathlib.Path("tests/soak") / each
         for each in ("messages.py", "store.py", "links.py")]
names += sorted(pathlib.Path("review/standins-2").glob("*.py"))
names += [each for number in range(6, 11)
          for each in sorted(pathlib.Path(f"review/{number}").glob("*.py"))]
for name in names:
    ast.parse(name.read_text(encoding="utf-8"), str(name))
print(f"{len(names)} files checked")
CHECK
