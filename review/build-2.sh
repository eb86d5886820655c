#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/cases2
