#!/usr/bin/env bash
# Guards against a break anywhere on the path from a caller through two entry daemons to an
# endpoint or worker and back.
set -euo pipefail
BIN=$1
BASE_PORT=7500
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
for n in 1 2 3 4; do
  answer=$(curl -s -H "Authorization: Bearer $CALLER_KEY" -d "lot $n" "http://$(entry_address "$n")/v1/services/lot-ledger/assess")
  case $answer in *"\"echo\":\"lot $n\""*) ;; *) fail "request through entry-$n: $answer" ;; esac
done
status=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer wrong" -d x "http://$(entry_address 1)/v1/services/lot-ledger/assess")
[ "$status" = 401 ] || fail "wrong key got status $status"
status=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $CALLER_KEY" -d x "http://$(entry_address 1)/v1/services/lot-ledger/allocate")
[ "$status" = 400 ] || fail "non-idempotent request without an idempotency key got status $status"
first=$(curl -s -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: a1" -d buy "http://$(entry_address 1)/v1/services/lot-ledger/allocate")
second=$(curl -s -H "Authorization: Bearer $CALLER_KEY" -H "Idempotency-Key: a1" -d buy "http://$(entry_address 3)/v1/services/lot-ledger/allocate")
[ "$first" = "$second" ] || fail "repeat through another entry daemon: $first then $second"
runs=0
for i in 1 2 3 4 5 6; do
  count=$(curl -s "http://$(endpoint_address $i)/executions" | sed -n 's/.*"buy":\([0-9]*\).*/\1/p')
  runs=$((runs + ${count:-0}))
done
[ "$runs" = 1 ] || fail "a non-idempotent request sent twice ran $runs times"
state=$(echo '{"tasks":4,"run_ms":200}' | caller --output=json submit - --wait 2>/dev/null)
case $state in *'"state": "succeeded"'*) ;; *) fail "job: $state" ;; esac
echo '{"millicores":9000000}' | caller submit - 2>"$CELL/never.err" && fail "a job larger than every worker was accepted"
grep -q never_runnable "$CELL/never.err" || fail "no reason: $(cat "$CELL/never.err")"
echo "whole path: passed"
