#!/usr/bin/env bash
# The stand-ins are Python and need no build. This checks that they can be loaded with
# the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
for case in review/[0-9]*/case.py; do
    module="${case%.py}"
    python3 -c "import importlib, sys; importlib.import_module(sys.argv[1])" \
        "${module//\//.}"
done
