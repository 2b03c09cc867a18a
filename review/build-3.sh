#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside target/lacewing-edge: the project's stand-ins, with the library
# that the build of the deploy file has left in target/. Needs no package beyond those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="libevent libnghttp2 liblog4cxx INIReader protobuf simdjson libxxhash yaml-cpp libssl libcrypto"
read -ra flags <<<"$(pkg-config --cflags $packages)"
read -ra libraries <<<"$(pkg-config --libs $packages)"
objects=()
pids=()
for source in standins/*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ -std=c++20 -O1 -Isrc -I. -Istandins "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ "${objects[@]}" target/liblacewing.a "${libraries[@]}" -lprometheus-cpp-core -ldocopt -lpthread -o "$out/lacewing-standin"
echo "built $out/lacewing-standin"

# The cell of the second review, with one more field in `spec`: `sound`, the number of first tasks of a step that don't fail.
changed="$out/Platform.cpp"
sed 's/run.m_fails = ++m_runsOf\[task\] <= spec.value("fail", 0);/run.m_fails = ++m_runsOf[task] <= spec.value("fail", 0) \&\& index >= spec.value("sound", std::size_t{ 0 });/' \
  review/cell-2/Platform.cpp >"$changed"
grep -q '"sound"' "$changed"
g++ -std=c++20 -O2 -o "$out/platform" "$changed" -levent &
compiled=$!
g++ -std=c++20 -O2 -o "$out/failing-tasks" review/11/Case.cpp review/cell-2/Cell.cpp
wait $compiled
echo "built $out/failing-tasks"
g++ -std=c++20 -O2 -o "$out/wide-gang" review/14/Case.cpp review/cell-2/Cell.cpp
echo "built $out/wide-gang"
