#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start: one program a case. Needs what the
# deploy file's packages bring; to be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs cpp-httplib)
for source in review/[45678]/main.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I review/standin-2 "$source" \
    -o "target/review-2/case-$number" $flags &
done
for job in $(jobs -p); do wait "$job"; done
