#!/usr/bin/env bash
# Guards against clients that send lacewingd many requests ahead at the paths that tell its state and read
# no response: the daemon buffers requests and responses until it runs out of memory.
set -euo pipefail
BIN=$1
BASE_PORT=11100
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
note_baseline 1
for path in /readyz /healthz /metrics; do
  flood_and_check 1 "$(entry_address 1)" $CALLER_CONNECTIONS pipelined $path 20 16000000
done
echo "daemon flood of pipelined requests for its state: passed"
