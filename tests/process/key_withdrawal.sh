#!/usr/bin/env bash
# Guards against a withdrawn key that goes on working at some entry daemon, and against a team
# that reads the jobs of another one.
set -euo pipefail
BIN=$1
BASE_PORT=8000
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
status_of() { # entry
  curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $CALLER_KEY" -d x \
    "http://$(entry_address "$1")/v1/services/lot-ledger/assess"
}
for n in 1 2 3 4; do [ "$(status_of $n)" = 200 ] || fail "the key does not work at entry-$n"; done
job=$(echo '{"tasks":1,"run_ms":50}' | caller --output=json submit - | sed -n 's/.*"job": "\(.*\)".*/\1/p')
admin teams create buyers >/dev/null
other=$(admin --output=json keys create buyers 2>/dev/null | sed -n 's/.*"key": "\(.*\)",*/\1/p')
admin settings apply system "$CELL/system.ini" --wait >/dev/null 2>&1
status=$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $other" "http://$(entry_address 1)/v1/jobs/$job")
[ "$status" = 403 ] || fail "another team's key got status $status for the job"
admin teams remove buyers >/dev/null
admin teams list | grep -q buyers && fail "a removed team is still listed"
tries=0
until [ "$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $other" -d x "http://$(entry_address 2)/v1/services/lot-ledger/assess")" = 401 ]; do
  tries=$((tries + 1))
  [ "$tries" -lt 100 ] || fail "the key of a removed team still works"
  sleep 0.1
done
admin teams create buyers >/dev/null || fail "a removed team cannot be created again"
id=$(echo "$CALLER_KEY" | cut -d. -f3)
admin keys withdraw assessors "$id" >/dev/null
for n in 1 2 3 4; do
  tries=0
  until [ "$(status_of $n)" = 401 ]; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || fail "the withdrawn key still works at entry-$n"
    sleep 0.1
  done
done
grep -l "$CALLER_KEY" "$CELL"/*.out && fail "a key is in a log"
admin timeline | grep -q "${CALLER_KEY##*.}" && fail "a key is in the time line"
echo "key withdrawal: passed"
