#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-3.sh. Ends with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/lacewing-edge ] && [ -x target/review-3/wide-gang ] || exit 2
timeout -k 2 115 target/review-3/wide-gang review/14/record.txt
result=$?
[ $result -le 2 ] || result=2
exit $result
