#!/usr/bin/env bash
# Guards against jobs that are lost, doubled or forgotten when the leader of a pool is killed or
# stopped, with real daemons against the stand-in of the users' platform.
set -euo pipefail
BIN=$1
BASE_PORT=9800
source "$(dirname "$0")/../../scripts/platform-cell"
start_platform_cell

# Work that runs, work that waits and work that is done when the leader goes.
for job in $(seq 1 10); do submit "$job" policy 2 3000; done
for job in $(seq 11 20); do submit "$job" urgent 1 50; done
for job in $(seq 11 20); do wait_state "$job" urgent completed; done
first=$(leader)
kill -KILL "${PIDS[edge-$first]}"
for job in $(seq 21 30); do submit "$job" urgent 2 100; done
for job in $(seq 21 30); do wait_state "$job" urgent completed; done
second=$(leader)
[ -n "$second" ] && [ "$second" != "$first" ] || fail "no successor of daemon $first"
start_daemon "$first"
wait_ready "$first"

# A planned stop hands the pool over and ends by itself.
kill -TERM "${PIDS[edge-$second]}"
for job in $(seq 31 40); do submit "$job" policy 1 100; done
for job in $(seq 1 10); do wait_state "$job" policy completed; done
for job in $(seq 31 40); do wait_state "$job" policy completed; done
wait "${PIDS[edge-$second]}" || fail "the planned stop ended with code $?"
expect_single_starts
echo "platform leader kill: passed"
