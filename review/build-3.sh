#!/bin/sh
# Build the stand-ins that the scripts of review/11 to review/15 start. They
# are Python modules and need nothing but the build of the deploy file.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -m compileall -q common_3 11 12 13 14 15
