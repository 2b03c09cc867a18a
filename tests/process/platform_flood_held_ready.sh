#!/usr/bin/env bash
# Guards against clients that send requests ahead for the path that says ready and read no response: the
# load balancer's request was closed without an answer.
set -euo pipefail
BIN=$1
BASE_PORT=13300
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=320
start_platform_cell
hold_and_check 1 "$(callers_address 1)" pipelined /api/readyz 150 16000000
hold_and_check 1 "$(probe_address 1)" pipelined /api/readyz 60 16000000
hold_and_check 1 "$(peers_address 1)" pipelined /api/readyz 60 16000000
echo "platform flood held, ready: passed"
