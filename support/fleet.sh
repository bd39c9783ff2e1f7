# Shell functions that run a small fleet on loopback; sourced by the other scripts of this folder.
# Process ids are recorded, and only processes started here are stopped.
# BIN: directory of the programs; RUN: directory for output.

FLEET_PIDS=()

# await_ready FILE: waits up to 10 s for a "ready" line.
await_ready() {
  local tries=0
  until grep -q '^ready' "$1" 2>/dev/null; do
    tries=$((tries + 1))
    if [ "$tries" -gt 200 ]; then echo "no ready line in $1" >&2; return 1; fi
    sleep 0.05
  done
}

# value_of FILE KEY: prints the value of "KEY=" in the ready line.
value_of() { sed -n "s/^ready.*[ ]$2=\([^ ]*\).*/\1/p" "$1" | head -1; }

# start NAME PROGRAM ARGS...: starts a program and waits until it is ready.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.err" &
  echo $! >"$RUN/$name.pid"
  FLEET_PIDS+=($!)
  await_ready "$RUN/$name.out"
}

start_platform() {
  start platform "$BIN/standin-platform" "$@"
  PLATFORM=$(value_of "$RUN/platform.out" api)
  PLATFORM_CONTROL=$(value_of "$RUN/platform.out" control)
}

# start_target NAME SERVICE ARGS...
start_target() {
  local name=$1 service=$2
  shift 2
  start "target-$name" "$BIN/standin-target" --service "$service" "$@"
}

target_address() { value_of "$RUN/target-$1.out" address; }

# start_node NAME SERVICE DATA_CENTRE SETTINGS...: starts the node of the target with the same name.
start_node() {
  local name=$1 service=$2 centre=$3
  shift 3
  start "node-$name" "$BIN/jackdaw-node" --set "process=$name" --set "service=$service" \
    --set "dataCentre=$centre" --set "targetAddress=$(target_address "$name")" \
    --set "platformAddresses=[\"$PLATFORM\"]" --set "logPath=$RUN/node-$name.log" "$@"
}

node_caller() { value_of "$RUN/node-$1.out" caller; }
node_operator() { value_of "$RUN/node-$1.out" operator; }

# stop NAME: sends SIGTERM to a process and waits for it; returns its exit code.
stop() {
  local pid
  pid=$(cat "$RUN/$1.pid")
  kill -TERM "$pid" 2>/dev/null
  wait "$pid"
}

# stop_fleet: stops all processes that this shell started.
stop_fleet() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  FLEET_PIDS=()
}

# await_members COUNT NODE...: waits up to 20 s per node until it reports COUNT live members.
await_members() {
  local count=$1 name tries
  shift
  for name in "$@"; do
    tries=0
    until curl -s "http://$(node_operator "$name")/status" | grep -q "\"alive\":$count[,}]"; do
      tries=$((tries + 1))
      if [ "$tries" -gt 200 ]; then echo "$name does not report $count live members" >&2; return 1; fi
      sleep 0.1
    done
  done
}

# Result of the checks: set to 1 when one fails.
FAILED=0

# check TEXT CONDITION...: runs CONDITION as a command and prints the result.
check() {
  local text=$1
  shift
  if "$@"; then echo "passed: $text"; else echo "FAILED: $text"; FAILED=1; fi
}

at_least() { awk -v a="$1" -v b="$2" 'BEGIN { exit !(a >= b) }'; }

# start_idle_nodes COUNT: starts nodes without targets to measure the control overhead; sets NAMES to their
# names.
start_idle_nodes() {
  local n
  NAMES=()
  for n in $(seq "$1"); do
    NAMES+=("n$n")
    echo "ready address=127.0.0.1:9" >"$RUN/target-n$n.out"
    start_node "n$n" "service-$((n % 8))" "centre-$((n % 3))" || return 1
  done
  await_members "$1" "${NAMES[@]}"
}
