#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisyslipd ] && [ -x target/driver3 ] || { echo "build first: the deploy file's build line, review/build-3.sh" >&2; exit 2; }
exec timeout -k 5 110 target/driver3 lost-zones review/12/record.txt
