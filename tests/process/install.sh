#!/usr/bin/env bash
# Guards against an installation that lacks a program or the unit, and against a unit that names
# a program which the installation does not have.
set -euo pipefail
BIN=$1
PREFIX=$(mktemp -d)
trap 'rm -rf "$PREFIX"' EXIT
cmake --install "$BIN" --prefix "$PREFIX" >/dev/null
for program in lacewingd lacewing lacewing-load; do
  "$PREFIX/bin/$program" --help >/dev/null || {
    echo "FAILED: $program is not installed or does not run" >&2
    exit 1
  }
done
unit=$PREFIX/lib/systemd/system/lacewingd.service
command=$(sed -n 's/^ExecStart=\([^ ]*\).*/\1/p' "$unit")
[ -x "$PREFIX/bin/$(basename "$command")" ] || {
  echo "FAILED: the unit starts '$command', which is not installed" >&2
  exit 1
}
echo "install: passed"
