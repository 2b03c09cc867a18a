#!/usr/bin/env bash
# Guards against lost, doubled or untrue work when an entry daemon that owns slices is killed
# and a new process takes its place on the same VM.
set -euo pipefail
BIN=$1
BASE_PORT=7600
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
load --mix=vanigliera --rate=150 --jobs=4 --seconds=10 &
running=$!
sleep 2
kill -9 "${CELL_PIDS[entry-1]}"
sleep 5
start_entry 1
wait "$running" || fail "load while entry-1 was killed"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
echo "kill of an owner: passed"
