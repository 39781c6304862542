#!/usr/bin/env bash
# Plays the standard days of the regression set with the users' bench and prints one
# table. Usage, in the repository: deploy/regression.sh BENCH SITES [JOBS]
# BENCH is the bench's program, SITES the folder with its site files.
set -euo pipefail
bench="$1" sites="$2" jobs="${3:-2}"
set_of_sites=(
  further/kurume-sizing.toml
  further-grown/kurume-sizing-grown.toml
  grown/hgw-silo-grown.toml
  grown/turnos-daisyslip-grown.toml
  large/hgw-silo-large.toml
)
entries=()
for site in "${set_of_sites[@]}"; do
  "$bench" score "$sites/$site" --jobs "$jobs" --why "regression set: $site" >&2
  entries+=("$(ls -t journal/*.json | head -1)")
done
go run ./cmd/daisyslip journal "${entries[@]}"
