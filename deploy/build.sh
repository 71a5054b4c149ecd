#!/bin/sh
# Install the pinned requirements under target/ and compile all modules, so
# that no program compiles them at startup on the instance.
set -eu
if ! [ target/deps -nt requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r requirements.txt
    touch target/deps
fi
python3 -m compileall -q bilberryramp target/deps >/dev/null || true
