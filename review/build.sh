#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins are Python modules
# of this project and of review/lib, so that compiling them is enough. Run after
# the build of deploy/system.toml, whose target/deps holds the libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/lib:platform:packages/amaranthlug/src:packages/amaranthlug-standins/src
python3 -m compileall -q review/lib platform packages/amaranthlug/src \
  packages/amaranthlug-standins/src
python3 -c "import deployment"
