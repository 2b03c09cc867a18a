#!/usr/bin/env bash
# Guards against work that runs twice or a false "not run" when an entry daemon is paused for
# longer than its lease and acts on stale ownership after it wakes.
set -euo pipefail
BIN=$1
BASE_PORT=7700
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
(
  sleep 2
  kill -STOP "${CELL_PIDS[entry-2]}"
  sleep 6
  kill -CONT "${CELL_PIDS[entry-2]}"
) &
load --mix=vanigliera --rate=150 --jobs=4 --seconds=12 || fail "load while entry-2 was paused"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
echo "pause of an owner: passed"
