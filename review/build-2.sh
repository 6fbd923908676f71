#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. They use the standard
# library alone; this compiles them, so that an error shows before a script runs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2
