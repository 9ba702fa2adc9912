#!/bin/bash
# Builds the stand-ins of the second review's scripts to target/review-2, with the project's go.mod.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2 ./review/_part2
