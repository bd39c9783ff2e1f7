#!/usr/bin/env bash
# run.sh RUNS [SEED]: fuzzes the decoders with sanitizers, starting with the inputs in fuzz/corpus. A failing
# input is saved there as crash-*; commit it together with the fix, so that later runs test it again.
set -eu
cd "$(dirname "$0")/.."
CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DJACKDAW_PARTS=fuzz >/dev/null
ninja -C build-fuzz decode-fuzz
mkdir -p build-fuzz/found
build-fuzz/bin/decode-fuzz -runs="$1" -seed="${2:-1}" -max_len=8192 -artifact_prefix=fuzz/corpus/ -print_final_stats=1 \
  build-fuzz/found fuzz/corpus
