#!/usr/bin/env bash
# Guards against tasks that are lost or run twice when daemons that call workers in place of the leader
# are paused, killed or stopped, and when the leader is killed while they do; real daemons and 200
# workers against the stand-in of the users' platform.
set -euo pipefail
BIN=$1
BASE_PORT=10700
source "$(dirname "$0")/../../scripts/platform-cell"
# The workers of the stand-in listen on the ports after its own.
store_address() { echo "127.0.0.1:$((BASE_PORT + 100))"; }
DAEMONS=4
WORKERS=200
start_platform_cell

submit_jobs() { # first last
  for job in $(seq "$1" "$2"); do submit "$job" urgent 40 600; done
}
wait_jobs() { # first last
  for job in $(seq "$1" "$2"); do wait_state "$job" urgent completed; done
}
relay_starts() { # daemon number
  curl -sf "http://$(peers_address "$1")/metrics" |
    awk '/^lacewing_relay_orders_total.*accepted/ { n += $NF } END { print n + 0 }'
}

submit 1 urgent 4 50
wait_state 1 urgent completed
sleep 2 # the daemons make themselves known to the leader
lead=$(leader)
[ -n "$lead" ] || fail "no daemon leads"
others=()
for n in $(seq $DAEMONS); do [ "$n" = "$lead" ] || others+=("$n"); done
submit_jobs 2 6
wait_jobs 2 6
used=0
for n in "${others[@]}"; do [ "$(relay_starts "$n")" -gt 0 ] && used=$((used + 1)); done
[ $used -gt 0 ] || fail "no daemon has taken orders"

# A pause longer than the life of an order, a kill and a planned stop, with work under way.
submit_jobs 7 11
kill -STOP "${PIDS[edge-${others[0]}]}"
sleep 2
kill -CONT "${PIDS[edge-${others[0]}]}"
submit_jobs 12 16
kill -KILL "${PIDS[edge-${others[1]}]}"
start_daemon "${others[1]}"
submit_jobs 17 21
kill -TERM "${PIDS[edge-${others[2]}]}"
submit_jobs 22 26
wait_jobs 7 26
wait "${PIDS[edge-${others[2]}]}" || fail "the daemon with the planned stop exited with code $?"
start_daemon "${others[2]}"
wait_ready "${others[1]}"
wait_ready "${others[2]}"

# The successor of a killed leader takes over what its relays have started.
lead=$(leader)
submit_jobs 27 31
kill -KILL "${PIDS[edge-$lead]}"
submit_jobs 32 36
wait_jobs 27 36
expect_single_starts
echo "platform relay faults: passed"
