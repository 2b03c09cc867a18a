#!/usr/bin/env bash
# Guards against rows of ended jobs that are never deleted from the store, and against jobs that run
# again after their rows are deleted.
set -euo pipefail
BIN=$1
BASE_PORT=10000
source "$(dirname "$0")/../../scripts/platform-cell"
STATUS_S=1
start_platform_cell
declare -A UNFINISHED_AT SHOWN_COMPLETED
now_ms() { date +%s%3N; }

# Asks for the job once and checks the answer. A job ends after the last answer that showed it
# unfinished was asked for, and is shown for STATUS_S from its end on. Fails if the job is gone
# before that time has passed, or is not final any more. Returns 1 while it is shown.
check_shown() { # job number
  local asked code state
  asked=$(now_ms)
  code=$(call 1 GET "/urgent/$(job_id "$1")")
  if [ "$code" = 410 ]; then
    [ $(($(now_ms) - UNFINISHED_AT[$1])) -ge $((STATUS_S * 1000)) ] ||
      fail "job $1 is gone less than $STATUS_S s after it was shown unfinished"
    return 0
  fi
  [ "$code" = 200 ] || return 1 # no answer about the job
  state=$(jq -r .state "$CELL/answer")
  case "$state" in
    completed) SHOWN_COMPLETED[$1]=1 ;;
    pending | running)
      [ -z "${SHOWN_COMPLETED[$1]:-}" ] || fail "job $1 is $state after it was completed"
      UNFINISHED_AT[$1]=$asked
      ;;
    *) fail "job $1 is $state" ;;
  esac
  return 1
}

# Submits the jobs and asks for all of them in turn until none is shown any more.
run_until_gone() { # job numbers
  local job shown=("$@") left rounds=0
  for job in "$@"; do
    UNFINISHED_AT[$job]=$(now_ms)
    submit "$job" urgent 1 20
  done
  while [ ${#shown[@]} -gt 0 ]; do
    left=()
    for job in "${shown[@]}"; do check_shown "$job" || left+=("$job"); done
    shown=(${left[@]+"${left[@]}"})
    rounds=$((rounds + 1))
    [ $rounds -lt 400 ] || fail "jobs that have ended are still shown: ${shown[*]}"
    sleep 0.05
  done
}

run_until_gone $(seq 1 20)
tries=0
until [ "$(curl -sf "http://$(store_address)/rows" | jq '.jobs + .progress')" = 0 ]; do
  tries=$((tries + 1))
  [ $tries -lt 400 ] || fail "rows of ended jobs are still in the store: $(curl -sf "http://$(store_address)/rows")"
  sleep 0.05
done
[ "$(call 1 GET "/urgent/$(job_id 1)")" = 410 ] || fail "GET of deleted job 1 did not return 410"
run_until_gone 21
expect_single_starts
[ "$(curl -sf "http://$(store_address)/starts" | jq .tasks)" = 21 ] || fail "not each of 21 jobs has run"
echo "platform expiry: ${#SHOWN_COMPLETED[@]} of 21 jobs were shown as completed; passed"
