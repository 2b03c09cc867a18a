#!/usr/bin/env bash
# Guards against clients that send bodies and frames without end to the port of lacewingd's peers, on many
# connections: the daemon buffers them until it runs out of memory or descriptors.
set -euo pipefail
BIN=$1
BASE_PORT=11300
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
# The port of the peers takes the first bytes for the length of a frame.
note_baseline 2
for mode in announced chunked; do
  flood_and_check 2 "$(peer_address 2)" $PEER_CONNECTIONS $mode / 200 4000000
done
# Frames of the largest size that never end, on more connections than the port of the peers keeps.
frame=$(head -c 4000 /dev/zero | tr '\0' x)
peers=$(peer_address 2)
crowd=()
for _ in $(seq 300); do
  exec {socket}<>"/dev/tcp/${peers%:*}/${peers#*:}"
  crowd+=("$socket")
  printf '\x00\x00\x10\x00%s' "$frame" >&"$socket" 2>/dev/null || true
done
check_flooded 2 $PEER_CONNECTIONS "300 unfinished frames at the peers' port of entry-2, crowd held"
for socket in "${crowd[@]}"; do exec {socket}>&-; done
check_flooded 2 $PEER_CONNECTIONS "300 unfinished frames at the peers' port of entry-2, crowd gone"
echo "daemon flood of the peers' port: passed"
