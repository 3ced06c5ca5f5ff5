#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the build of the deploy file:
# their stand-ins are Python modules without dependencies.
set -e
cd "$(dirname "$0")"
for file in standins3.py 1[1-5]/*.py; do
    [ -e "$file" ] && python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
[ -e ../target/app/entry.py ] || { echo "run the build of the deploy file first" >&2; exit 1; }
