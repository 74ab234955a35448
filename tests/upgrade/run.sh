#!/usr/bin/env bash
# Rehearses the upgrade from the version in production (deploy/service.toml) to the one checked out,
# with real processes of both on loopback. Needs the repository's history; not part of CI.
set -euo pipefail
cd "$(dirname "$0")/../.."
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'git worktree remove --force "$work/old"; rm -rf "$work"' EXIT

git worktree add --quiet --detach "$work/old" "$production"
cmake -S "$work/old" -B "$work/old/target" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$work/old/target" -j4 --target rookdyked >/dev/null
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j4 --target rookdyked rehearse_upgrade >/dev/null
mkdir "$work/run"
target/tests/rehearse_upgrade "$work/old/target/rookdyked" target/rookdyked "$work/run" ||
  { tail -n 20 "$work"/run/*.log; exit 1; }
