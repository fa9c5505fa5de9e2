#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: compiles them to show that they can be started.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q second 6 8 9 10
