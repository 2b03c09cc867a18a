#!/usr/bin/env bash
# Guards against new requests to an endpoint that is leaving, by the VM list or by its own
# status, and against lost or untrue answers while the VM list still has a killed endpoint.
set -euo pipefail
BIN=$1
BASE_PORT=8400
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
executions() { # endpoint
  curl -s "http://$(endpoint_address "$1")/executions" |
    sed -n 's/.*"executions":{\([^}]*\)}.*/\1/p' | grep -o ':[0-9]*' | awk -F: '{ sum += $2 } END { print sum + 0 }'
}
refused() { # endpoint
  curl -s "http://$(endpoint_address "$1")/executions" | sed -n 's/.*"refused":\([0-9]*\).*/\1/p'
}
# Marks an endpoint in the VM list that the platform serves from now on.
list_state() { # endpoint, state
  sed -i "s/\(\"vm\":\"endpoint-$1\",\"kind\":\"endpoint\",\"state\":\"\)[a-z]*/\1$2/" "$CELL/vms.json"
  curl -sf --data-binary @"$CELL/vms.json" "http://$VM_LIST/v1/vms" >/dev/null
}

# endpoint-1 leaves by the list and would still take requests; endpoint-4 says so itself. The
# bound is one poll of the list and one dispatch; 5 s are "a few seconds".
load --mix=vanigliera --rate=150 --seconds=14 >"$CELL/load.out" &
running=$!
sleep 3
[ "$(executions 1)" -gt 0 ] || fail "endpoint-1 got no request before it left"
[ "$(executions 4)" -gt 0 ] || fail "endpoint-4 got no request before it left"
list_state 1 leaving
curl -sf -X POST "http://$(endpoint_address 4)/control?leaving=1" >/dev/null
sleep 5
listed=$(executions 1)
own=$(($(executions 4) + $(refused 4)))
others=$(executions 2)
wait "$running" || fail "load while endpoints left: $(cat "$CELL/load.out")"
cat "$CELL/load.out"
[ "$(executions 1)" = "$listed" ] || fail "endpoint-1 left by the list, $(($(executions 1) - listed)) requests ran there later"
after=$(($(executions 4) + $(refused 4)))
[ "$after" = "$own" ] || fail "endpoint-4 said that it leaves, $((after - own)) requests were sent to it later"
[ "$(executions 2)" -gt "$others" ] || fail "endpoint-2 got no request while endpoint-1 was leaving"
[ "$(total may_have_run)" = 0 ] || fail "$(total may_have_run) requests were cut"

# The list is slow to notice that endpoint-6 is dead.
kill -9 "${CELL_PIDS[endpoint-6]}"
load --mix=vanigliera --rate=150 --seconds=6 --seed=2 || fail "load while the list has a killed endpoint"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"

# Endpoints that come back get requests again.
spawn endpoint-6 "$BIN/lacewing-standin" endpoint --listen="$(endpoint_address 6)" --name=endpoint-6
list_state 1 live
curl -sf -X POST "http://$(endpoint_address 4)/control?leaving=0" >/dev/null
before=("$(executions 1)" "$(executions 4)" 0)
round=0
until [ "$(executions 1)" -gt "${before[0]}" ] && [ "$(executions 4)" -gt "${before[1]}" ] && [ "$(executions 6)" -gt 0 ]; do
  round=$((round + 1))
  [ "$round" -le 10 ] || fail "requests at returned endpoints: $(executions 1), $(executions 4), $(executions 6); before ${before[*]}"
  load --mix=vanigliera --rate=100 --seconds=3 --seed=$((round + 2)) >"$CELL/load.out" || fail "load after the return: $(cat "$CELL/load.out")"
done
echo "leaving endpoint: passed"
