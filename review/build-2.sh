#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python with the standard library
# only, so they are checked and compiled. The programs come from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q harness2 6 7 8 9 10
