#!/usr/bin/env bash
# Guards against a second run of a task whose worker restarted unheard: the new process holds a start by its
# lease end on the former clock for longer than the leader has sent.
set -euo pipefail
BIN=$1
BASE_PORT=10900
source "$(dirname "$0")/../../scripts/platform-cell"
DAEMONS=1
WORKERS=2
start_platform_cell

starts() { curl -sf "http://$(store_address)/starts" | jq -r "$1"; }

# Prints a worker that has taken tasks of the job. Arguments: job number, run time in ms.
worker_of_job() {
  local before
  submit "$1" urgent 6 "$2"
  before=$(starts .by_worker)
  wait_state "$1" urgent completed
  starts "$before as \$old | .by_worker | to_entries | map(select(.value > \$old[.key]))[0].key"
}

# The next job of this kind goes where the last one went. A leader that has noticed the worker's silence by
# then places it elsewhere, and the next attempt follows.
taken=0
for attempt in 1 2 3 4 5; do
  worker=$(worker_of_job "$((attempt * 2))" 50)
  [ "$worker" != null ] || continue
  curl -sf "http://$(store_address)/control?restart_unheard=$worker&for_ms=9000" >/dev/null
  submit "$((attempt * 2 + 1))" urgent 6 7000
  wait_state "$((attempt * 2 + 1))" urgent completed
  taken=$(starts ".by_worker[\"$worker\"]")
  [ "$taken" = 0 ] || break
done
[ "$taken" -gt 0 ] || fail "no start reached a restarted worker in $attempt attempts"
[ "$(starts .overlaps)" = 0 ] || fail "$(starts .overlaps) tasks ran on two workers at once"
kill -0 "${PIDS[edge-1]}" || fail "the daemon has ended"
echo "platform unheard restart: passed ($taken starts taken unheard)"
