#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need Python's standard library
# alone, so this only checks that they compile; nothing is fetched.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import sys
from pathlib import Path

for path in sorted(Path(".").glob("standins2.py")) + sorted(Path(".").glob("[0-9]*/case.py")):
    if path.parent.name in ("1", "2", "3", "4"):
        continue
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"{path}: built")
sys.exit(0)
END
