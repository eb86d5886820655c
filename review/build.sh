#!/usr/bin/env bash
# Builds the stand-ins and the checks of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
