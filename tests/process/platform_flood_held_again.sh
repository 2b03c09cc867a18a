#!/usr/bin/env bash
# Guards against clients that send requests ahead, read no response, and connect again as soon as they are
# closed: the load balancer's request was closed without an answer.
set -euo pipefail
BIN=$1
BASE_PORT=13500
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=320
start_platform_cell
hold_and_check 1 "$(callers_address 1)" pipelined /api/readyz 150 16000000 --reconnect
hold_and_check 1 "$(probe_address 1)" pipelined /api/readyz 60 16000000 --reconnect
hold_and_check 1 "$(probe_address 1)" chunked /no/such/path 60 900000 --reconnect
hold_and_check 1 "$(peers_address 1)" pipelined /no/such/path 60 16000000 --reconnect
echo "platform flood held, again: passed"
