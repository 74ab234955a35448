#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
export LOG_LEVEL=${LOG_LEVEL:-info}
test -x target/rookdyked && test -x target/review/case3 || { echo "build first"; exit 2; }
timeout -k 0.5 119 target/review/case3 "$folder" review/3/record.txt
code=$?
case $code in 0 | 1) exit "$code" ;; *) tail -n 5 "$folder"/*.log; exit 2 ;; esac
