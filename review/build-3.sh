#!/bin/sh
# Builds the stand-ins of the cases of the third review. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review3 ./review/cases3
