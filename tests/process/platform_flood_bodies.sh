#!/usr/bin/env bash
# Guards against clients that send bodies far over the limit, announced or not, on many connections: a
# daemon kept up to a megabyte for each of them.
set -euo pipefail
BIN=$1
BASE_PORT=10600
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=1000
start_platform_cell
job=/urgent/$(job_id 1)
flood_and_check 1 "$(callers_address 1)" announced "$job" 200 4000000
flood_and_check 1 "$(callers_address 1)" chunked "$job" 200 900000
flood_and_check 1 "$(probe_address 1)" chunked "$job" 200 900000
flood_and_check 1 "$(peers_address 1)" chunked "$job" 200 900000
echo "platform flood of bodies: passed"
