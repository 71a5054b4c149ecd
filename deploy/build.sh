#!/bin/sh
# Installs the pinned requirements under target/ and compiles everything, so
# that no start compiles modules on the instance's own processor.
set -eu
if ! [ target/deps -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r requirements.txt
    touch target/deps
fi
python3 -m compileall -q bilberryramp target/deps >/dev/null || true
