#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10 into target/, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2-driver ./review/driver2
