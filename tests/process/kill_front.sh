#!/usr/bin/env bash
# Guards against accepted jobs that never run when the entry daemon that accepted them is killed
# right afterwards, while the others cannot answer it.
set -euo pipefail
BIN=$1
BASE_PORT=8900
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
# The other daemons stand still for a moment, so that none confirms a job to the first one.
for n in 2 3 4; do kill -STOP "${CELL_PIDS[entry-$n]}"; done
jobs=()
for _ in 1 2 3 4 5 6 7 8; do
  answer=$(curl -s -m 5 -H "Authorization: Bearer $CALLER_KEY" -d '{"tasks":2,"millicores":8000,"run_ms":100}' \
    "http://$(entry_address 1)/v1/jobs")
  job=$(sed -n 's/.*"job": *"\([^"]*\)".*/\1/p' <<<"$answer")
  [ -n "$job" ] || fail "a job was not accepted: $answer"
  jobs+=("$job")
done
kill -9 "${CELL_PIDS[entry-1]}"
for n in 2 3 4; do kill -CONT "${CELL_PIDS[entry-$n]}"; done
for job in "${jobs[@]}"; do
  tries=0
  until caller --output=json status "$job" 2>/dev/null | grep -q '"state": "succeeded"'; do
    tries=$((tries + 1))
    [ "$tries" -lt 400 ] || fail "job $job was accepted and did not run: $(caller status "$job" 2>&1)"
    sleep 0.1
  done
done
echo "kill of a front: ${#jobs[@]} jobs passed"
