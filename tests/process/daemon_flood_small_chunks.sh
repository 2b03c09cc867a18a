#!/usr/bin/env bash
# Guards against clients that send lacewingd bodies in chunks of one byte: the memory that each chunk takes in
# the HTTP library is far more than the bytes that are counted.
set -euo pipefail
BIN=$1
BASE_PORT=11400
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
note_baseline 1
"$BIN/lacewing-standin" chunks --to="$(entry_address 1)" --path=/v1/jobs --connections=64 --pieces=4000 \
  >"$CELL/flood.out" || fail "the flood could not run"
check_flooded 1 $CALLER_CONNECTIONS "chunks of one byte at entry-1, 64 connections, $(cat "$CELL/flood.out")"
echo "daemon flood of small chunks: passed"
