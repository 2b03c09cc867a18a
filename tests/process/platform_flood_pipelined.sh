#!/usr/bin/env bash
# Guards against a client that sends many requests ahead and reads no response: all that it sent was
# buffered until the daemon ran out of memory.
set -euo pipefail
BIN=$1
BASE_PORT=10500
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=1000
start_platform_cell
flood_and_check 1 "$(probe_address 1)" pipelined /api/readyz 20 16000000
flood_and_check 1 "$(callers_address 1)" pipelined /no/such/path 20 16000000
flood_and_check 1 "$(peers_address 1)" pipelined /no/such/path 20 16000000
echo "platform flood of pipelined requests: passed"
