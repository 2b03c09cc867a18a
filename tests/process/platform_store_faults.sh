#!/usr/bin/env bash
# Guards against false rejections, jobs that run twice and a pool that makes no progress after the
# store was busy, dropped responses or truncated its history of changes; and against keys and queues
# that do not follow the desired state.
set -euo pipefail
BIN=$1
BASE_PORT=9900
source "$(dirname "$0")/../../scripts/platform-cell"
start_platform_cell

submit 1 urgent 2 50
wait_state 1 urgent completed
store_mode busy
refused=0
for try in 1 2 3 4 5 6; do
  code=$(call 1 POST "/urgent/$(job_id 2)" -d '{"spec":"50","steps":[{"count":1,"cpu":500,"mem_mb":64}]}')
  [ "$code" = 503 ] && refused=$((refused + 1))
  [ "$code" != 200 ] || fail "job 2 was accepted while the store was busy"
done
[ $refused -gt 0 ] || fail "no submission was rejected with 503 while the store was busy"
store_mode works
for daemon in 1 2 3; do wait_ready $daemon; done
# A rejected job has not run, and daemons have no state of it.
[ "$(call 2 GET "/urgent/$(job_id 2)")" = 410 ] || fail "GET of rejected job 2 did not return 410"

store_mode loses-answers
(sleep 1.5 && store_mode works) &
submit 3 urgent 1 50
wait_state 3 urgent completed
store_mode compact
submit 4 policy 1 50
wait_state 4 policy completed

# A cancelled job stops. Unknown jobs, keys and paths have distinct status codes.
submit 5 urgent 1 60000
wait_state 5 urgent running
[ "$(call 3 DELETE "/urgent/$(job_id 5)")" = 200 ] || fail "job 5 was not cancelled"
wait_state 5 urgent cancelled
[ "$(call 1 DELETE "/urgent/$(job_id 99)")" = 410 ] || fail "DELETE of unknown job 99 did not return 410"
[ "$(call 1 GET "/urgent/$(job_id 1)" -H 'Authorization: Bearer other')" = 401 ] || fail "a request with a wrong key did not return 401"
[ "$(call 1 GET "/nowhere/$(job_id 1)")" = 404 ] || fail "a path without a queue did not return 404"
[ "$(call 1 POST "/urgent/$(job_id 6)" -d '{')" = 400 ] || fail "a malformed job did not return 400"
# A daemon may respond with 503 until it has received the leader's first status.
tries=0
until [ "$(call 1 GET /urgent/)" = 200 ]; do
  tries=$((tries + 1))
  [ $tries -lt 100 ] || fail "daemon 1 returned no count of waiting jobs: $(cat "$CELL/answer")"
  sleep 0.05
done
[ "$(jq .waiting "$CELL/answer")" = 0 ] || fail "expected 0 waiting jobs: $(cat "$CELL/answer")"

# All daemons reject a key that was removed from the desired state.
curl -sf -X POST -d "$(config 2 | sed 's/key-1/key-2/')" "http://$(store_address)/control" >/dev/null
for daemon in 1 2 3; do
  tries=0
  until [ "$(call "$daemon" GET "/urgent/$(job_id 1)")" = 401 ]; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || fail "daemon $daemon still accepts a removed key"
    sleep 0.05
  done
done
expect_single_starts
echo "platform store faults: passed"
