#!/usr/bin/env bash
# Guards against clients that send bodies without end and stay connected: ordinary requests got no answer
# meanwhile.
set -euo pipefail
BIN=$1
BASE_PORT=13200
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=320
start_platform_cell
hold_and_check 1 "$(callers_address 1)" chunked "/urgent/$(job_id 1)" 150 900000
hold_and_check 1 "$(probe_address 1)" chunked "/urgent/$(job_id 1)" 60 900000
hold_and_check 1 "$(peers_address 1)" chunked "/urgent/$(job_id 1)" 60 900000
hold_and_check 1 "127.0.0.1:$(relay_port 1)" chunked "/urgent/$(job_id 1)" 20 900000
echo "platform flood held, chunked: passed"
