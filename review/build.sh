#!/bin/sh
# Builds the stand-ins of the cases: they are plain Python without
# dependencies, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q stubs [1-9]
