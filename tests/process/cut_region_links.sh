#!/usr/bin/env bash
# Guards against work that runs twice, a false "not run", and slices that change hands when the
# entry daemons of the two regions do not reach each other: both ways, each way alone, and while
# one region does not reach the table either. Also against a backlog that is sent after a cut.
set -euo pipefail
BIN=$1
BASE_PORT=9000
source "$(dirname "$0")/../../scripts/process-test"
# For 64 kB in each direction.
MAX_BURST_BYTES=128000
advertise_of() { printf '[advertise]\npeers_of_other_regions = %s\n' "$(relay_address "$1")"; }
table_of() { if [ "$(entry_region "$1")" = liguria ]; then relay_address 0; else echo "$TABLE"; fi; }
start_relay 0 "$TABLE"
for n in 1 2 3 4; do start_relay $n "$(peer_address $n)"; done
# Daemons of Lombardy connect to the relays of Liguria and the other way round.
cut_regions() { # both, to_liguria, to_lombardy or none; 1 to close the connections
  local lombardy=$1 liguria=$1 n
  case $1 in
    to_liguria) lombardy=backward liguria=forward ;;
    to_lombardy) lombardy=forward liguria=backward ;;
  esac
  for n in 1 2; do cut_relay $n "$lombardy" "${2:-0}"; done
  for n in 3 4; do cut_relay $n "$liguria" "${2:-0}"; done
}
start_cell
configure_cell
# A daemon that joins last takes its slices over within some seconds.
sleep 4
before=$(owned_slices)
(
  sleep 1
  for cut in both to_liguria to_lombardy without_table; do
    if [ "$cut" = without_table ]; then cut_relay 0 both; fi
    cut_regions "${cut/without_table/both}"
    sleep 7
    [ "$(owned_slices)" = "$before" ] || fail "cut $cut: slices changed hands: $before before, $(owned_slices) after"
    # Connections that lost bytes end, as they do when the link is back.
    if [ "$cut" = without_table ]; then cut_relay 0 none 1; fi
    cut_regions none 1
    at_end=$(relay_bytes relayed)
    sleep 1
    burst=$(($(relay_bytes relayed) - at_end))
    echo "cut $cut: $(relay_bytes dropped) bytes dropped so far, $burst bytes in the first second afterwards"
    [ "$burst" -le "$MAX_BURST_BYTES" ] || fail "cut $cut: $burst bytes in the first second afterwards"
    sleep 2
  done
  [ "$(relay_bytes dropped)" -gt 0 ] || fail "the relays dropped nothing"
) &
cuts=$!
load --mix=vanigliera --rate=100 --jobs=3 --seconds=44 || fail "load while the regions were cut off from each other"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
wait "$cuts" || fail "a cut went wrong"
load --mix=vanigliera --rate=100 --jobs=2 --seconds=4 --seed=2 || fail "load after the cuts"
echo "cut region links: passed"
