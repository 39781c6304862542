#!/bin/sh
# Builds the stand-ins and clients of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
for main in review/*/main.go; do
	n=$(basename "$(dirname "$main")")
	go build -tags review -o "target/review/case$n" "./review/$n"
done
