# Functions that start a cell on stand-ins; sourced, from the project's root.
bin=$PWD/build/bin
run=$(mktemp -d)
pids=""
# Stops the daemons first: they hand over through the stand-ins' service.
finish() {
  # shellcheck disable=SC2086
  set -- $pids
  local standins=${1:-}
  [ $# -eq 0 ] || shift
  [ $# -eq 0 ] || { kill -TERM "$@" 2>/dev/null; wait "$@" 2>/dev/null; } || true
  [ -z "$standins" ] || { kill -TERM "$standins"; wait "$standins"; } || true
  rm -rf "$run"
}
trap finish EXIT

# Waits until a command succeeds, at most 20 s.
until_ok() {
  for _ in $(seq 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    read -r -t 0.1 <> <(:) || true
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

# Prints this many ports that nothing listens on.
free_ports() {
  local candidate=$((20000 + RANDOM % 20000)) found=0
  while [ "$found" -lt "$1" ]; do
    candidate=$((candidate + 1))
    if ! (: <"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null; then
      printf '%s ' "$candidate"
      found=$((found + 1))
    fi
  done
  echo
}

# start_standins OPTION...: sets store, control and list to its addresses.
start_standins() {
  "$bin/cicada_standin" "$@" >"$run/standin.out" &
  pids="$pids $!"
  until_ok grep -q ready "$run/standin.out"
  store=$(sed 's/.*store=\([^ ]*\) control.*/\1/' "$run/standin.out")
  control=$(sed 's/.* control=\([^ ]*\) .*/\1/' "$run/standin.out")
  list=$(sed 's/.*store_control=//' "$run/standin.out")
}

# prepare_daemons COUNT ZONES: settings and ports for as many.
prepare_daemons() {
  read -r -a port <<<"$(free_ports $(($1 * 3)))"
  head -c 24 /dev/urandom | base64 >"$run/operators.token"
  head -c 24 /dev/urandom | base64 >"$run/link.token"
  local n
  for n in $(seq 0 $(($1 - 1))); do
    cat >"$run/d$n.ini" <<INI
[daemon]
name = d$n
zone = zone-$((n % $2 + 1))
[callers]
listen = 127.0.0.1:${port[$((n * 3))]}
[operators]
listen = 127.0.0.1:${port[$((n * 3 + 1))]}
token-file = $run/operators.token
[link]
listen = 127.0.0.1:${port[$((n * 3 + 2))]}
token-file = $run/link.token
[store]
addresses = $store
[instances]
address = $list
INI
  done
  export CICADA_OPERATORS=127.0.0.1:${port[1]}
  export CICADA_TOKEN_FILE=$run/operators.token
  ctl="$bin/cicadactl"
}

# start_daemon N: sets daemon_pid[N].
start_daemon() {
  "$bin/cicadad" --settings "$run/d$1.ini" 2>>"$run/d$1.log" &
  daemon_pid[$1]=$!
  pids="$pids $!"
}

# True if the first daemon reaches this many daemons, itself included.
reaches() {
  [ "$($ctl --json status | grep -o '"reachable": true' | wc -l)" = "$1" ]
}
