#!/usr/bin/env bash
# Guards against work that runs twice or a false "not run" when one region loses its link to
# the table and the VM list, first in the direction to the table, then the answers, then both.
# The entry daemons of the regions still reach each other; cut_region_links cuts those links.
set -euo pipefail
BIN=$1
BASE_PORT=8700
source "$(dirname "$0")/../../scripts/process-test"
TABLE_LINK=127.0.0.1:$((BASE_PORT + 80))
LIST_LINK=127.0.0.1:$((BASE_PORT + 81))
table_of() { if [ "$(entry_region "$1")" = liguria ]; then echo "$TABLE_LINK"; else echo "$TABLE"; fi; }
vm_list_of() { if [ "$(entry_region "$1")" = liguria ]; then echo "$LIST_LINK"; else echo "$VM_LIST"; fi; }
spawn table-link "$BIN/lacewing-standin" link --listen="$TABLE_LINK" --to="$TABLE" --control=127.0.0.1:$((BASE_PORT + 82))
spawn list-link "$BIN/lacewing-standin" link --listen="$LIST_LINK" --to="$VM_LIST" --control=127.0.0.1:$((BASE_PORT + 83))
cut_link() { # none, forward, backward or both
  local control
  for control in $((BASE_PORT + 82)) $((BASE_PORT + 83)); do
    curl -sf -X POST "http://127.0.0.1:$control/control?cut=$1&close=${2:-0}" | jq .dropped
  done
}
start_cell
configure_cell
(
  sleep 2
  for direction in forward backward both; do
    before=$(cut_link "$direction")
    sleep 6
    # Connections that lost bytes end, as they do when the link is back.
    after=$(cut_link none 1)
    paste <(echo "$before") <(echo "$after") | awk '$2 <= $1 { exit 1 }' ||
      fail "cut $direction: a relay dropped nothing: $before before, $after after"
    sleep 2
  done
) &
cuts=$!
load --mix=vanigliera --rate=100 --jobs=3 --seconds=27 || fail "load while the link to the table was cut"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
wait "$cuts" || fail "the link could not be cut"
# The region that was cut off accepts work that needs the table again.
for n in 1 2 3 4; do
  tries=0
  until [ "$(curl -s -m 20 -o "$CELL/answer" -w '%{http_code}' -H "Authorization: Bearer $CALLER_KEY" \
    -H "Idempotency-Key: after-$n-$tries" -d "after $n" "http://$(entry_address "$n")/v1/services/lot-ledger/allocate")" = 200 ]; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || fail "entry-$n after the cut: $(cat "$CELL/answer")"
    sleep 0.2
  done
done
load --mix=vanigliera --rate=100 --jobs=2 --seconds=4 --seed=2 || fail "load after the cut"
echo "cut link to the store: passed"
