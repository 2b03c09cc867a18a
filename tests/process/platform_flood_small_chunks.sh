#!/usr/bin/env bash
# Guards against clients that send bodies in chunks of one byte: the memory that each chunk takes in the HTTP
# library is far more than the bytes that were counted.
set -euo pipefail
BIN=$1
BASE_PORT=11500
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
MEMORY_MB=120
MAX_FDS=1000
start_platform_cell
for address in "$(callers_address 1)" "$(probe_address 1)" "$(peers_address 1)"; do
  "$BIN/lacewing-standin" chunks --to="$address" --path="/urgent/$(job_id 1)" --connections=64 --pieces=4000 \
    >"$CELL/flood.out" || fail "the flood could not run"
  check_flooded 1 "chunks of one byte at $address"
done
echo "platform flood of small chunks: passed"
