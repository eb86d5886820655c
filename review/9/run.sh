#!/bin/sh
# Shows that streams can't be taken up at the entry VM that is left.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2 takeup review/9/record.txt
