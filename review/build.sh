#!/bin/sh
# The stand-ins are Python modules, of the project and of review/common, and
# need no build; this checks that they can be imported after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import review.common.fleet"
