#!/usr/bin/env bash
# Guards against clients that send lacewingd many requests ahead at paths that no route has and read no
# response: the daemon buffers requests and responses until it runs out of memory.
set -euo pipefail
BIN=$1
BASE_PORT=11200
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
note_baseline 1
for path in /no/such/path /v1/no/such/path; do
  flood_and_check 1 "$(entry_address 1)" $CALLER_CONNECTIONS pipelined $path 20 16000000
done
note_baseline 2
flood_and_check 2 "$(peer_address 2)" $PEER_CONNECTIONS pipelined /no/such/path 20 16000000
echo "daemon flood of pipelined requests without a route: passed"
