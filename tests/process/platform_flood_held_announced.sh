#!/usr/bin/env bash
# Guards against clients that announce bodies far over the limit and stay connected: ordinary requests got
# no answer meanwhile.
set -euo pipefail
BIN=$1
BASE_PORT=13100
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=320
start_platform_cell
hold_and_check 1 "$(callers_address 1)" announced "/urgent/$(job_id 1)" 150 4000000
hold_and_check 1 "$(probe_address 1)" announced "/urgent/$(job_id 1)" 60 4000000
hold_and_check 1 "$(peers_address 1)" announced "/urgent/$(job_id 1)" 60 4000000
hold_and_check 1 "127.0.0.1:$(relay_port 1)" announced "/urgent/$(job_id 1)" 20 4000000
echo "platform flood held, announced: passed"
