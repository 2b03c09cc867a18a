#!/usr/bin/env bash
# Guards against rows of ended jobs that are never deleted from the store, and against jobs that run
# again after their rows are deleted.
set -euo pipefail
BIN=$1
BASE_PORT=10000
source "$(dirname "$0")/../../scripts/platform-cell"
STATUS_S=1
start_platform_cell
for job in $(seq 1 20); do submit "$job" urgent 1 20; done
for job in $(seq 1 20); do wait_state "$job" urgent completed; done
tries=0
until [ "$(curl -sf "http://$(store_address)/rows" | jq '.jobs + .progress')" = 0 ]; do
  tries=$((tries + 1))
  [ $tries -lt 400 ] || fail "rows of ended jobs are still in the store: $(curl -sf "http://$(store_address)/rows")"
  sleep 0.05
done
[ "$(call 1 GET "/urgent/$(job_id 1)")" = 410 ] || fail "GET of deleted job 1 did not return 410"
submit 21 urgent 1 20
wait_state 21 urgent completed
expect_single_starts
echo "platform expiry: passed"
