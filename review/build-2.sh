#!/usr/bin/env bash
# Checks that the stand-ins of cases 4 to 8 can be loaded with the libraries of the deploy
# file's build, which has to run first. They are Python: nothing is compiled or installed.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build command of deploy/system.toml first" >&2
    exit 1
fi
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="target/deps:.:review/lib-2" python3 -c "
import backend, client, deployment
import primroseglade.platform.__main__
import primroseglade.stand_ins.store
"
