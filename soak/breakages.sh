#!/usr/bin/env bash
# breakages.sh BIN BROKEN_BIN: checks that the soak fails when a safeguard is disabled. BROKEN_BIN contains a
# jackdawwall built with JACKDAW_BREAKAGES, in which an environment variable selects the safeguard to disable.
# Exits with 0 only if the soak noticed each disabled safeguard within TRIES seeds.
set -u
cd "$(dirname "$0")/.."
export BIN=$1 BROKEN=$2 TRIES=${TRIES:-12}
check() { # SAFEGUARD GUARANTEE
  for seed in $(seq 1 "$TRIES"); do
    folder=build/breakages/$1-$seed && rm -rf "$folder" && mkdir -p "$folder"
    JACKDAW_BREAK=$1 "$BIN/jackdaw-soak" -p "$BROKEN/jackdawwall" -f "$folder" -s "$seed" >"$folder/verdict.txt" 2>&1
    grep -m1 "promise=$2" "$folder/verdict.txt" | sed "s/^/noticed: $1 /" | grep . && return 0
  done
  echo "MISSED: $1 over $TRIES seeds"
  return 1
}
export -f check
printf "%s\n" "answer-ids whole-answers" "leaves drain" "at-most-once at-most-once" "attempts attempts" \
  "callers-that-left callers-that-left" "true-refusals true-refusal" "configurations configuration-in-force" \
  "planned-stops planned-stop" | xargs -P "${PARALLEL:-4}" -L1 bash -c 'check "$0" "$1"'
