#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile. They are Python files of their own and
# need nothing but the standard library; the routers come from the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
