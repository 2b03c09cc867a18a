#!/usr/bin/env bash
# Guards against clients that open more connections than the daemon has descriptors: nobody else could
# connect any more.
set -euo pipefail
BIN=$1
BASE_PORT=10700
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=300
start_platform_cell
flood_and_check 1 "$(callers_address 1)" pipelined /no/such/path 600 200
flood_and_check 1 "$(probe_address 1)" pipelined /no/such/path 600 200
echo "platform flood of connections: passed"
