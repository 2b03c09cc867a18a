#!/usr/bin/env bash
# Guards against two operators who both win with one base version, an accepted version that is
# missing from the history, and an accepted value that some entry daemon does not have.
set -euo pipefail
BIN=$1
BASE_PORT=8300
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
admin teams create racers >/dev/null
version_at() { # entry, subtree
  LACEWING_KEY=$ADMIN_KEY LACEWING_ENTRY=$(entry_address "$1") "$BIN/lacewing" --output=json settings get "$2" |
    sed -n 's/.*"version": \([0-9]*\).*/\1/p'
}
text_at() { # entry, subtree
  LACEWING_KEY=$ADMIN_KEY LACEWING_ENTRY=$(entry_address "$1") "$BIN/lacewing" settings get "$2" 2>/dev/null
}
# Waits until each entry daemon has the version; settings are in force everywhere within 13 s.
wait_version() { # subtree, version
  local n tries=0
  for n in 1 2 3 4; do
    until [ "$(version_at "$n" "$1")" = "$2" ]; do
      tries=$((tries + 1))
      [ "$tries" -lt 130 ] || fail "entry-$n has version $(version_at "$n" "$1") of $1, expected $2"
      sleep 0.1
    done
  done
}
# Runs a command against one entry daemon in the background; its exit code goes into a file.
race() { # name, entry, arguments
  local name=$1 entry=$2
  shift 2
  {
    code=0
    LACEWING_KEY=$ADMIN_KEY LACEWING_ENTRY=$(entry_address "$entry") "$BIN/lacewing" --output=json "$@" \
      >"$CELL/$name.race" 2>&1 || code=$?
    echo "$code" >"$CELL/$name.code"
  } &
  racers+=($!)
}

version=$(version_at 1 team.racers)
first=$version
: >"$CELL/accepted"
for round in 1 2 3 4 5 6; do
  wait_version team.racers "$version"
  racers=()
  for n in 1 2 3 4; do
    printf '[team]\nweight = %s\n' "$round.$n" >"$CELL/weight-$n.ini"
    race "apply-$n" "$n" settings apply team.racers "$CELL/weight-$n.ini" --base="$version"
  done
  wait "${racers[@]}"
  winner=""
  for n in 1 2 3 4; do
    case $(cat "$CELL/apply-$n.code") in
      0)
        [ -z "$winner" ] || fail "round $round: entry-$winner and entry-$n both accepted a change of version $version"
        winner=$n
        ;;
      6) ;;
      *) fail "round $round: entry-$n: exit code $(cat "$CELL/apply-$n.code"): $(cat "$CELL/apply-$n.race")" ;;
    esac
  done
  [ -n "$winner" ] || fail "round $round: no change of version $version was accepted"
  version=$((version + 1))
  wait_version team.racers "$version"
  for n in 1 2 3 4; do
    text_at "$n" team.racers | grep -q "^weight = $round.$winner\$" ||
      fail "round $round: entry-$n has '$(text_at "$n" team.racers)', accepted was weight $round.$winner"
  done
  echo "$version $round.$winner" >>"$CELL/accepted"
done
echo "apply: $((version - first)) versions of 24 changes"

# Each set reads, changes one key of its own and writes; no accepted one may undo another.
before=$(version_at 1 system)
racers=()
keys=(queue_urgent queue_interactive queue_patient record_batch_max)
for n in 1 2 3 4; do race "set-$n" "$n" settings set system requests "${keys[n - 1]}" "15$n"; done
wait "${racers[@]}"
accepted=0
for n in 1 2 3 4; do
  case $(cat "$CELL/set-$n.code") in
    0) accepted=$((accepted + 1)) ;;
    6) ;;
    *) fail "set at entry-$n: exit code $(cat "$CELL/set-$n.code"): $(cat "$CELL/set-$n.race")" ;;
  esac
done
[ "$accepted" -gt 0 ] || fail "no set was accepted: $(cat "$CELL"/set-*.race)"
wait_version system $((before + accepted))
for n in 1 2 3 4; do
  for i in 1 2 3 4; do
    present=1
    text_at "$n" system | grep -q "^${keys[i - 1]} = 15$i\$" || present=0
    expected=1
    [ "$(cat "$CELL/set-$i.code")" = 0 ] || expected=0
    [ "$present" = "$expected" ] ||
      fail "set of ${keys[i - 1]}: exit code $(cat "$CELL/set-$i.code"), at entry-$n: $(text_at "$n" system)"
  done
done
echo "set: $accepted of 4 accepted"

# The history has each accepted version with the accepted value, at each entry daemon.
for n in 1 2 3 4; do
  curl -sf -H "Authorization: Bearer $ADMIN_KEY" "http://$(entry_address "$n")/v1/settings/team.racers/history" |
    grep -o '{"text":"[^"]*","version":[0-9]*}' |
    sed -n 's/.*weight = \([0-9.]*\).*"version":\([0-9]*\)}/\2 \1/p' | sort -n |
    awk -v first="$first" '$1 > first' >"$CELL/history"
  cmp -s "$CELL/accepted" "$CELL/history" ||
    fail "history at entry-$n: $(tr '\n' ';' <"$CELL/history") accepted: $(tr '\n' ';' <"$CELL/accepted")"
done
load --mix=vanigliera --rate=50 --seconds=2 || fail "load after the race"
[ "$(total answered)" -gt 0 ] || fail "nothing was answered"
echo "operator race: passed"
