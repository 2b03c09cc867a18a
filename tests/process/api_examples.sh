#!/usr/bin/env bash
# Guards against examples in docs/api.md that do not print what the page says: runs each curl
# line as it stands, with only the address and the key of this cell put in.
set -euo pipefail
BIN=$1
BASE_PORT=8600
source "$(dirname "$0")/../../scripts/process-test"
start_cell
configure_cell
mapfile -t examples < <(sed -n 's/^    \(curl .*\)/\1/p' docs/api.md)
[ "${#examples[@]}" -gt 0 ] || fail "docs/api.md has no example"
for example in "${examples[@]}"; do
  [[ $example == *http://127.0.0.1:7451/* ]] || fail "no address of the local cell in: $example"
  command=${example//127.0.0.1:7451/$(entry_address 1)}
  answer=$(KEY=$CALLER_KEY bash -c "$command" 2>"$CELL/curl.err") || fail "$example: $(cat "$CELL/curl.err")"
  case $example in
    *"/v1/jobs")
      # 202 {"job": ID}
      [[ $answer =~ ^\{\"job\":\ ?\"([^\"]+)\"\}$ ]] || fail "$example printed: $answer"
      job=${BASH_REMATCH[1]}
      tries=0
      until caller --output=json status "$job" | grep -q '"state": "succeeded"'; do
        tries=$((tries + 1))
        [ "$tries" -lt 300 ] || fail "the job of the example did not succeed: $(caller status "$job")"
        sleep 0.1
      done
      ;;
    *"/v1/services/"*)
      # The endpoint's body; the stand-in repeats what it was sent.
      sent=$(sed -n "s/.* -d '\([^']*\)'.*/\1/p" <<<"$example")
      [[ $answer == *"\"echo\":\"$sent\""* ]] || fail "$example printed: $answer"
      ;;
    *) fail "this test does not know what the page says about: $example" ;;
  esac
done
echo "api examples: ${#examples[@]} passed"
