#!/usr/bin/env bash
# Builds the stand-ins of all script cases into build-review/ at the root of the repository. Needs g++,
# pkg-config and libjsoncpp-dev, which the deploy file lists as well.
set -eu
cd "$(dirname "$0")/.."
out=build-review
mkdir -p "$out"
# shellcheck disable=SC2046
flags="-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/stand $(pkg-config --cflags jsoncpp)"
libraries=$(pkg-config --libs jsoncpp)
pids=""
for source in review/stand/*.cpp; do
  g++ $flags -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
pids=""
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" "$out"/net.o "$out"/store.o "$out"/backend.o "$out"/fleet.o $libraries -o "$out/case-$number" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
