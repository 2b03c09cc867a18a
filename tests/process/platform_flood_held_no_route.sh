#!/usr/bin/env bash
# Guards against clients that send requests ahead for a path without a route and read no response: the load
# balancer's request was closed without an answer.
set -euo pipefail
BIN=$1
BASE_PORT=13400
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=320
start_platform_cell
hold_and_check 1 "$(callers_address 1)" pipelined /no/such/path 150 16000000
hold_and_check 1 "$(probe_address 1)" pipelined /no/such/path 60 16000000
hold_and_check 1 "$(peers_address 1)" pipelined /no/such/path 60 16000000
echo "platform flood held, no_route: passed"
