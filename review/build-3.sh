#!/bin/sh
# Builds what the scripts in review/11 to review/15 start besides the routers. The
# stand-ins are Python; this checks that they can be imported with the deployed packages.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c "import review.standins3.deployment"
