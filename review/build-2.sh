#!/bin/sh
# Prepare what the scripts of the cases 6 to 10 start beside the programs.
# The stand-ins are Python modules that need nothing but the standard library,
# so they are only compiled. The programs come from the build of the deploy
# file, which has to run first.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common2 review/6 review/7 review/8 review/9 \
    review/10
