#!/usr/bin/env bash
# Guards against work that runs twice and a false "not run" when the two entry daemons of a region
# do not reach each other: both ways, one way, and while the table is down, when neither can get
# the other's promise and both have to stop.
set -euo pipefail
BIN=$1
BASE_PORT=9100
source "$(dirname "$0")/../../scripts/process-test"
# Daemons of the other region go past the relay.
advertise_of() {
  printf '[advertise]\npeers = %s\npeers_of_other_regions = %s\n' "$(relay_address "$1")" "$(peer_address "$1")"
}
for n in 1 2 3 4; do start_relay $n "$(peer_address $n)"; done
table_down() { curl -sf -X POST "http://$TABLE/control?down=$1" >/dev/null; }
start_cell
configure_cell
sleep 4
before=$(owned_slices)
(
  sleep 1
  cut_relay 1 both
  cut_relay 2 both
  sleep 6
  [ "$(owned_slices)" = "$before" ] || fail "cut both ways: slices changed hands: $before before, $(owned_slices) after"
  cut_relay 1 none 1
  cut_relay 2 none 1
  sleep 2
  # What entry-1 sends to entry-2 is lost.
  cut_relay 2 forward
  cut_relay 1 backward
  sleep 6
  [ "$(owned_slices)" = "$before" ] || fail "cut one way: slices changed hands: $before before, $(owned_slices) after"
  cut_relay 1 none 1
  cut_relay 2 none 1
  sleep 2
  cut_relay 1 both
  cut_relay 2 both
  table_down 1
  sleep 7
  table_down 0
  cut_relay 1 none 1
  cut_relay 2 none 1
  [ "$(relay_bytes dropped)" -gt 0 ] || fail "the relays dropped nothing"
) &
cuts=$!
load --mix=vanigliera --rate=100 --jobs=3 --seconds=36 || fail "load while two daemons were cut off from each other"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
wait "$cuts" || fail "a cut went wrong"
load --mix=vanigliera --rate=100 --jobs=2 --seconds=4 --seed=2 || fail "load after the cuts"
echo "cut pair link: passed"
