#!/usr/bin/env bash
# Builds the stand-ins and clients of this review's scripts into target/review-2/.
# The packages of the deploy file are enough.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -o target/review-2/platform.new review/cell-2/Platform.cpp -levent
g++ -std=c++20 -O2 -o target/review-2/cases.new review/cell-2/Main.cpp review/cell-2/Cell.cpp
mv target/review-2/platform.new target/review-2/platform
mv target/review-2/cases.new target/review-2/cases
