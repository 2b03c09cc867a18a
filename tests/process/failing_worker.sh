#!/usr/bin/env bash
# Guards against jobs that do not end, and a worker that goes on receiving its part of the
# starts, when a worker fails every task.
set -euo pipefail
BIN=$1
BASE_PORT=8500
FAILING_WORKER=1
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
starts() { # worker
  curl -s "http://$(worker_address "$1")/starts" |
    sed -n 's/.*"starts":{\([^}]*\)}.*/\1/p' | grep -o ':[0-9]*' | awk -F: '{ sum += $2 } END { print sum + 0 }'
}
all_starts() {
  for i in 1 2 3 4 5 6; do echo "worker-$i: $(starts $i)"; done | tr '\n' ' '
}
load --mix=vanigliera --rate=50 --jobs=20 --seconds=6 || fail "load while worker-1 becomes suspect"
[ "$(starts 1)" -gt 0 ] || fail "worker-1 got no task: $(all_starts)"
echo "first: $(all_starts)"
failing=$(starts 1)
sound=$(starts 2)
most_starts() { # worker
  curl -s "http://$(worker_address "$1")/starts" | grep -o '"[^"]*/[0-9]*":[0-9]*' | sort -t: -k2 -n -r | head -n 5 | tr '\n' ' '
}
load --mix=vanigliera --rate=50 --jobs=20 --seconds=10 --seed=2 ||
  fail "load while worker-1 is suspect; tasks with most starts there: $(most_starts 1)"
echo "both: $(all_starts)"
failing=$(($(starts 1) - failing))
sound=$(($(starts 2) - sound))
# worker-2 is the other worker of the slice. A suspect worker gets one probe task at a time.
[ $((failing * 4)) -lt "$sound" ] || fail "worker-1, which fails every task, got $failing starts, worker-2 $sound"
jobs=$(grep -A20 '"job ' "$CELL/load.json" | grep -o '"answered": [0-9]*' | awk '{ sum += $2 } END { print sum + 0 }')
[ "$jobs" -gt 0 ] || fail "no job succeeded"
! grep -q '"failed": [0-9]' "$CELL/load.json" || fail "a job failed because of one worker: $(grep '"failed"' "$CELL/load.json")"
echo "failing worker: passed"
