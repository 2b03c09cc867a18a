#!/usr/bin/env bash
# Guards against a halt of idempotent requests, or a false acceptance of anything that must be
# durable, while the table service is down for longer than every lease.
set -euo pipefail
BIN=$1
BASE_PORT=7900
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
request() { # entry, method, idempotency key
  curl -s -m 20 -o "$CELL/answer" -w '%{http_code}' -H "Authorization: Bearer $CALLER_KEY" \
    ${3:+-H "Idempotency-Key: $3"} -d lot "http://$(entry_address "$1")/v1/services/lot-ledger/$2"
}
[ "$(request 1 assess)" = 200 ] || fail "before the outage: $(cat "$CELL/answer")"
curl -s "http://$TABLE/control?down=1" >/dev/null
sleep 12
for n in 1 2 3 4; do
  [ "$(request $n assess)" = 200 ] || fail "idempotent request through entry-$n in the outage: $(cat "$CELL/answer")"
done
status=$(request 1 allocate outage-1)
[ "$status" != 200 ] || fail "a non-idempotent request was answered without a record"
echo '{"tasks":1}' | caller submit - >/dev/null 2>&1 && fail "a job was accepted without being durable"
curl -s "http://$TABLE/control" >/dev/null
tries=0
until [ "$(request 2 allocate after-1)" = 200 ]; do
  tries=$((tries + 1))
  [ "$tries" -lt 100 ] || fail "non-idempotent request after the outage: $(cat "$CELL/answer")"
  sleep 0.2
done
load --mix=vanigliera --rate=100 --jobs=2 --seconds=4 || fail "load after the outage"
echo "table outage: passed"
