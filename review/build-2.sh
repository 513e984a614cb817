#!/bin/sh
# Compile the stand-ins and the cases of the second review. They use the standard
# library only, and the programs are those of the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins2/*.py
for case in 4 5 6 7 8; do
    [ ! -f "$case/case.py" ] || python3 -m py_compile "$case/case.py"
done
