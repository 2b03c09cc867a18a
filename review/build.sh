#!/bin/sh
# Builds the stand-ins and clients of the cases into review/bin, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags="-std=c++20 -O2 -Wall -Wextra -Isrc -I."
for source in review/cell/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ $flags -c "$source" -o "review/bin/$name.o" &
  objects="${objects:-} review/bin/$name.o"
done
wait
for folder in review/[0-9]; do
  [ -e "$folder/Case.cpp" ] || continue
  # shellcheck disable=SC2086
  g++ $flags "$folder/Case.cpp" $objects target/liblacewing.a -levent -lcrypto -lpthread \
    -o "review/bin/case-$(basename "$folder")"
done
