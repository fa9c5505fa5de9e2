#!/usr/bin/env bash
# Usage: run.sh, or TROUBLE=0 run.sh without the disruption.  Exits with 1 if a task was
# started later than `cancel_ms` after the cancelling of its job was acknowledged, 0 if
# none was, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.12.case
