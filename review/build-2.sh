#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's scripts into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-2/*.cc; do
  g++ -std=c++20 -O1 -pthread -o "target/review-2/$(basename "$source" .cc)" "$source" &
done
wait
for source in review/stand-2/*.cc; do
  [ -x "target/review-2/$(basename "$source" .cc)" ] || exit 1
done
