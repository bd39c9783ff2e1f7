#!/bin/bash
# Runs a case: run-case.sh FOLDER PROGRAM [ARGUMENT]. Exits with 0 if the rule held, 1 if it was broken, 2 if the
# case could not run. The record is FOLDER/record.txt.
set -u
folder=$(cd "$1" && pwd) || exit 2
program=$2
shift 2
root=$(cd "$folder/../.." && pwd)
# The program ends its processes itself, and they end with it; the limit is a safeguard.
limit_s=115
if [ ! -x "$root/target/bin/jackdawwall" ]; then
    echo "target/bin/jackdawwall is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
if [ ! -x "$root/target/review-3/$program" ]; then
    "$root/review/build-3.sh" || exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=3 "$limit_s" "$root/target/review-3/$program" "$root" "$temporary" "$folder/record.txt" "$@"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
