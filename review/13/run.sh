#!/usr/bin/env bash
# Usage: run.sh, or TROUBLE=0 run.sh without the disruption.  Exits with 1 if the job was
# shown as failed though no run of it ended `failed`, 0 if it was completed, 2 if the
# case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.13.case
