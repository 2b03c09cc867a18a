#!/usr/bin/env bash
# Guards against jobs that are lost, run twice or no longer shown when the leader of a pool is killed
# or stopped, with real daemons against the stand-in of the users' platform.
set -euo pipefail
BIN=$1
BASE_PORT=9800
source "$(dirname "$0")/../../scripts/platform-cell"
start_platform_cell

# At the kill of the leader, some jobs run, some wait and some are completed.
for job in $(seq 1 10); do submit "$job" policy 2 3000; done
for job in $(seq 11 20); do submit "$job" urgent 1 50; done
for job in $(seq 11 20); do wait_state "$job" urgent completed; done
first=$(leader)
kill -KILL "${PIDS[edge-$first]}"
for job in $(seq 21 30); do submit "$job" urgent 2 100; done
for job in $(seq 21 30); do wait_state "$job" urgent completed; done
second=$(leader)
[ -n "$second" ] && [ "$second" != "$first" ] || fail "no daemon took over from leader $first"
start_daemon "$first"
wait_ready "$first"

# On a planned stop, the leader hands the pool over and its process exits without a kill.
kill -TERM "${PIDS[edge-$second]}"
for job in $(seq 31 40); do submit "$job" policy 1 100; done
for job in $(seq 1 10); do wait_state "$job" policy completed; done
for job in $(seq 31 40); do wait_state "$job" policy completed; done
wait "${PIDS[edge-$second]}" || fail "the daemon with the planned stop exited with code $?"
expect_single_starts
echo "platform leader kill: passed"
