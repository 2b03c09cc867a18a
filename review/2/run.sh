#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "review/bin/case-$folder" ] && [ -x target/lacewing-edge ] || exit 2
exec "review/bin/case-$folder" "review/$folder"
