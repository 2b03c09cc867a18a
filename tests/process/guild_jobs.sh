#!/usr/bin/env bash
# Guards against proof runs that start twice, jobs that never end, and a team above its upper
# limit, with the die cutters' mix, a limit, a killed owner and a cancellation.
set -euo pipefail
BIN=$1
BASE_PORT=8100
SERVICE=die-proof
IDEMPOTENT=quote,edge-check
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
admin limit set assessors --millicores=48000 --requests=24 >/dev/null
(
  sleep 3
  kill -9 "${CELL_PIDS[entry-2]}"
) &
load --mix=guild --rate=60 --jobs=6 --seconds=8 || fail "load while entry-2 was killed"
long=$(echo '{"tasks":2,"run_ms":600000}' | caller --output=json submit - | sed -n 's/.*"job": "\(.*\)".*/\1/p')
caller cancel "$long" >/dev/null
tries=0
until caller --output=json status "$long" | grep -q '"state": "cancelled"'; do
  tries=$((tries + 1))
  [ "$tries" -lt 200 ] || fail "the cancelled job did not end: $(caller status "$long")"
  sleep 0.1
done
echo '{"kind":"gang","tasks":64,"millicores":1000}' | caller submit - 2>"$CELL/limit.err" && fail "a gang above the team's limit was accepted"
grep -q "upper limit" "$CELL/limit.err" || fail "no reason: $(cat "$CELL/limit.err")"
admin limit show assessors
echo "guild jobs: passed"
