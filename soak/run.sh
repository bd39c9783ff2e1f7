#!/usr/bin/env bash
# run.sh BIN SEEDS [FIRST]: runs the fault soak with SEEDS consecutive seeds from FIRST on (the current Unix
# timestamp if omitted) and prints each verdict. Exits with 0 only if all verdicts are "held". Logs of other
# seeds are kept in SOAK_OUT/SEED. These environment variables may be set: SOAK_OUT (defaults to build/soak),
# PARALLEL (how many processes at a time), SECONDS_EACH (duration of each soak) and FLAGS (further options of
# jackdaw-soak).
set -u
cd "$(dirname "$0")/.."
BIN=$(cd "$1" && pwd)
SEEDS=$2
FIRST=${3:-$(date +%s)}
OUT=${SOAK_OUT:-build/soak}
mkdir -p "$OUT"
export BIN OUT FLAGS=${FLAGS:-} SECONDS_EACH=${SECONDS_EACH:-10}
run_seed() {
  folder="$OUT/$1"
  rm -rf "$folder" && mkdir -p "$folder"
  "$BIN/jackdaw-soak" --program "$BIN/jackdawwall" --folder "$folder" --seed "$1" --seconds "$SECONDS_EACH" $FLAGS >"$folder/verdict.txt" 2>&1
  code=$?
  cat "$folder/verdict.txt"
  [ "$code" -eq 0 ] && rm -rf "$folder"
  return "$code"
}
export -f run_seed
seq "$FIRST" "$((FIRST + SEEDS - 1))" | xargs -P "${PARALLEL:-4}" -I{} bash -c 'run_seed {} || exit 1'
[ "$?" -eq 0 ] && echo "soak: every promise held over $SEEDS seeds from $FIRST" && exit 0
echo "soak: broken, seeds from $FIRST"
exit 1
