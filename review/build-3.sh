#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs no network; the packages are those of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review-3
mkdir -p "$output"
read -r -a compile < <(pkg-config --cflags jsoncpp | tr '\n' ' '; echo)
read -r -a link < <(pkg-config --libs jsoncpp | tr '\n' ' '; echo)
for source in review/stand-3/*.cpp; do
    program=$output/$(basename "$source" .cpp)
    c++ -std=c++20 -O1 -Wall -Wextra "${compile[@]}" "$source" -o "$program.new" "${link[@]}" -pthread
    mv "$program.new" "$program"
done
