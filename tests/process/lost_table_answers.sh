#!/usr/bin/env bash
# Guards against doubled or falsely refused work when the table carries out writes but its
# answers are lost, and when it is slow.
set -euo pipefail
BIN=$1
BASE_PORT=8200
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
(
  sleep 2
  curl -s "http://$TABLE/control?lose_answers=1" >/dev/null
  sleep 1.5
  curl -s "http://$TABLE/control?delay_ms=400" >/dev/null
  sleep 2
  curl -s "http://$TABLE/control" >/dev/null
) &
load --mix=vanigliera --rate=100 --jobs=3 --seconds=8 || fail "load while the table lost answers"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
echo "lost table answers: passed"
