#!/usr/bin/env bash
# Guards against requests that are cut by a planned stop: every request must end with an answer
# or, at a daemon that has left, with a true "not run"; none may be uncertain.
set -euo pipefail
BIN=$1
BASE_PORT=7800
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
(
  sleep 2
  kill -TERM "${CELL_PIDS[entry-1]}"
) &
load --mix=vanigliera --rate=150 --jobs=4 --seconds=8 || fail "load during the planned stop"
[ "$(total may_have_run)" = 0 ] || fail "$(total may_have_run) requests were cut"
tries=0
while kill -0 "${CELL_PIDS[entry-1]}" 2>/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 400 ] || fail "entry-1 did not leave"
  sleep 0.1
done
wait "${CELL_PIDS[entry-1]}" || fail "entry-1 left with code $?"
echo "planned stop: passed"
