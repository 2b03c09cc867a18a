#!/usr/bin/env bash
# Guards against jobs that wait in a full slice beside a free one, against queries and
# cancellations that do not find a job that has moved, and against tasks that start twice.
set -euo pipefail
BIN=$1
BASE_PORT=9200
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell

# A task takes a whole worker; each of the two slices of the region has two workers.
submit() {
  echo '{"tasks":1,"millicores":32000,"run_ms":600000,"region":"lombardy"}' |
    caller --output=json submit - | sed -n 's/.*"job": "\(.*\)".*/\1/p'
}
state() { caller --output=json status "$1" 2>/dev/null | sed -n 's/.*"state": "\(.*\)".*/\1/p'; }
await() {
  local tries=0
  until [ "$(state "$1")" = "$2" ]; do
    tries=$((tries + 1))
    [ "$tries" -lt "$3" ] || fail "job $1 is $(state "$1") and not $2: $(caller explain "$1" 2>&1)"
    sleep 0.1
  done
}
moves() {
  local n sum=0
  for n in 1 2 3 4; do
    sum=$((sum + $(curl -sf "http://$(entry_address $n)/metrics" | awk '/^lacewing_job_moves_total.*"moved"/ { print int($2) }' | grep . || echo 0)))
  done
  echo "$sum"
}

running=()
for _ in 1 2 3 4; do running+=("$(submit)"); done
for job in "${running[@]}"; do await "$job" running 150; done
# One of these may have moved, since the slice is chosen by loads that are told later.
before=$(moves)
waiting=()
for _ in 1 2 3 4 5 6; do waiting+=("$(submit)"); done
sleep 3
[ "$(moves)" = "$before" ] || fail "jobs moved although both slices are full"

# The slice with most of the waiting jobs stays full; everything leaves the other one.
full=$(printf '%s\n' "${waiting[@]%.*}" | sort | uniq -c | sort -rn | awk 'NR == 1 { print $2 }')
left=()
for job in "${running[@]}" "${waiting[@]}"; do
  [ "${job%.*}" = "$full" ] || caller cancel "$job" >/dev/null
done
for job in "${waiting[@]}"; do
  [ "${job%.*}" != "$full" ] || left+=("$job")
done
[ "${#left[@]}" -ge 2 ] || fail "only ${#left[@]} jobs wait in $full"
begin=$(date +%s%3N)
# 5 s is the target for a job; the ends of the cancelled tasks come before.
await "${left[0]}" running 100
await "${left[1]}" running 100
echo "two jobs of the full slice run after $(($(date +%s%3N) - begin)) ms"
[ "$(moves)" -ge $((before + 2)) ] || fail "$(($(moves) - before)) jobs moved"

caller explain "${left[0]}" >/dev/null || fail "no explanation of a job that has moved"
caller cancel "${left[0]}" >/dev/null
await "${left[0]}" cancelled 100
for i in 1 2 3 4; do
  curl -sf "http://$(worker_address $i)/stats" | grep -q '"started_twice_on_one_worker": *0' ||
    fail "worker-$i started a task twice"
done
starts=$(for i in 1 2 3 4; do curl -sf "http://$(worker_address $i)/stats" | jq .running; done | paste -sd+ | bc)
[ "$starts" -le 4 ] || fail "$starts tasks run on four workers"

# The owner that holds the new rows is killed: the next one goes on with the job.
kill -9 "${CELL_PIDS[entry-1]}"
await "${left[1]}" running 300
echo "full slice: passed"
