#!/bin/sh
# The stand-ins are plain Python without other packages: this only checks that they compile.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q standins
