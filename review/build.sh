#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Uses the packages of the
# deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/case*
for case in review/[0-9]*/case.cpp; do
  n=$(basename "$(dirname "$case")")
  # shellcheck disable=SC2046
  "${CXX:-g++}" -std=c++20 -O1 -pthread $(pkg-config --cflags cpp-httplib) "$case" \
    -o "target/review/case$n" $(pkg-config --libs cpp-httplib) &
done
wait
for case in review/[0-9]*/case.cpp; do
  test -x "target/review/case$(basename "$(dirname "$case")")"
done
