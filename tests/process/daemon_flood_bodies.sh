#!/usr/bin/env bash
# Guards against clients that send lacewingd bodies far over the limit, announced or not, on many connections:
# the daemon buffers them until it runs out of memory.
set -euo pipefail
BIN=$1
BASE_PORT=11000
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
note_baseline 1
for mode in announced chunked; do
  flood_and_check 1 "$(entry_address 1)" $CALLER_CONNECTIONS $mode /v1/jobs 200 4000000
done
echo "daemon flood of bodies: passed"
