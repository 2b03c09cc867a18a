#!/usr/bin/env bash
# Guards against a leader that makes each call to each worker itself, so that its processor bounds the
# pool however many daemons there are: the leader of a pool of 300 workers uses less than half of the
# processor time of its four daemons.
set -euo pipefail
BIN=$1
BASE_PORT=10200
source "$(dirname "$0")/../../scripts/platform-cell"
# The workers of the stand-in listen on the ports after its own.
store_address() { echo "127.0.0.1:$((BASE_PORT + 100))"; }
DAEMONS=4
WORKERS=300
start_platform_cell

# Ticks of the processor that a daemon has used.
ticks() { awk '{print $14 + $15}' "/proc/${PIDS[edge-$1]}/stat"; }

submit 1 urgent 4 50
wait_state 1 urgent completed
sleep 3 # the daemons make themselves known to the leader
lead=$(leader)
[ -n "$lead" ] || fail "no daemon leads"
declare -A before
for n in $(seq $DAEMONS); do before[$n]=$(ticks "$n"); done
for job in $(seq 2 41); do
  submit "$job" urgent 100 200
done
for job in $(seq 2 41); do wait_state "$job" urgent completed; done
sleep 2
total=0
for n in $(seq $DAEMONS); do
  used=$(($(ticks "$n") - before[$n]))
  echo "edge-$n used $used ticks"
  total=$((total + used))
  [ "$n" != "$lead" ] || leads=$used
done
[ "$(leader)" = "$lead" ] || fail "the leader has changed"
[ $((2 * leads)) -lt "$total" ] || fail "the leader used $leads of $total ticks of its daemons"
expect_single_starts
echo "platform leader share: passed"
