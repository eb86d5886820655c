#!/usr/bin/env bash
# Runs the case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-cases ] || { echo "run review/build.sh first"; exit 2; }
exec timeout -k 5 115 target/review-cases rollback-in-freeze review/2
