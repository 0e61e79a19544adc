#!/bin/sh
# Checks that all that the scripts of the third review start can be loaded.
# Run after the build of the deploy file, at the repository's root.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q standins review/harness3
PYTHONPATH="target/deps:." python3 -c "import review.harness3.site"
