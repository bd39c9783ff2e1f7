#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources; fails on any finding.
set -u
cd "$(dirname "$0")/.."
build=${1:-build}
sources=$(git ls-files '*.cc' '*.h')
status=0
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources || status=1
git ls-files '*.cc' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" 2>"$build/lint-notes.txt" || status=1
[ "$status" -eq 0 ] && echo "lint clean"
exit "$status"
