#!/bin/bash
# Builds the stand-ins and the drivers of the cases into target/review/, with the project's own go.mod.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/case ./review/_stand
