#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs, so this only
# checks that they compile; it writes nothing into the repository.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */case.py trials/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
