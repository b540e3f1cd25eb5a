# Sourced by the run.sh of each case: starts a small deployment on loopback
# addresses with the command and the templates of the deploy file, and ends it.
# Each host has an address of its own, and all use the same ports.
set -u
here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
top="$(cd "$here/../.." && pwd)"
program="$top/target/hibiscusspool"
bin="$top/review/bin"
TROUBLE="${TROUBLE:-1}"
[ -x "$program" ] && [ -x "$bin/cases" ] || {
  echo "build first: the deploy file's build, then review/build.sh"
  exit 2
}
folder="$(mktemp -d)" || exit 2
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
port=$((20000 + RANDOM % 9000))
zones=(neng-merr neng-conn neng-kenn)
pids=()

cleanup() {
  local pid
  disown -a 2>/dev/null
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  for pid in "${pids[@]}"; do
    tail --pid="$pid" -f /dev/null 2>/dev/null
  done
  rm -rf "$folder"
}
trap cleanup EXIT

# fill TEMPLATE IP ZONE
fill() {
  sed -e "s/{{ip}}/$2/g" -e "s/{{zone}}/$3/g" \
    -e "s/{{internal_ports.0}}/$((port + 20))/g" \
    -e "s/{{internal_ports.1}}/$((port + 35))/g" \
    -e "s/{{seeds}}/$seeds/g" \
    -e "s/{{listen.front}}/$2:$((port + 2))/g" \
    -e "s/{{listen.readiness_addr}}/$2:$((port + 3))/g" \
    -e "s/{{listen.directory}}/$2:$((port + 4))/g" \
    -e "s/{{listen.control}}/$2:$((port + 5))/g" \
    -e "s#{{data_dir}}#$folder/data-$2#g" -e "s/{{bootstrap}}/true/g" \
    -e "s/{{bounds.drain_ms}}/3000/g" -e "s/{{bounds.grace_s}}/6/g" \
    -e "s/{{bounds.retry_window_s}}/10/g" \
    -e "s/{{bounds.retry_ratio}}/0.2/g" \
    -e "s/{{bounds.retry_slack}}/116/g" \
    -e "s/{{limits.cpu_share}}/0.17/g" "$top/deploy/$1.ini"
}

# deploy CONTROLS ENTRIES
deploy() {
  local n ip
  CONTROL="" FRONT="" READY="" CONTROL_PIDS="" ENTRY_PIDS="" seeds=""
  for n in $(seq 1 "$1"); do
    CONTROL="$CONTROL${CONTROL:+,}$net.$n:$((port + 5))"
    [ "$n" -le 3 ] && seeds="$CONTROL"
  done
  for n in $(seq 1 "$1"); do
    ip="$net.$n"
    mkdir -p "$folder/data-$ip"
    fill control "$ip" "${zones[$(((n - 1) % 3))]}" >"$folder/$ip.ini"
    (
      # With a limit, no file of this host grows beyond it.
      [ -z "${DISK_KB:-}" ] || ulimit -f "$DISK_KB"
      exec "$program" serve --settings "$folder/$ip.ini"
    ) >"$folder/$ip.log" 2>&1 &
    pids+=($!)
    CONTROL_PIDS="$CONTROL_PIDS${CONTROL_PIDS:+,}$!"
  done
  for n in $(seq 1 "$2"); do
    ip="$net.$((100 + n))"
    fill entry "$ip" "${zones[$(((n - 1) % 3))]}" >"$folder/$ip.ini"
    "$program" serve --settings "$folder/$ip.ini" >"$folder/$ip.log" 2>&1 &
    pids+=($!)
    ENTRY_PIDS="$ENTRY_PIDS${ENTRY_PIDS:+,}$!"
    FRONT="$FRONT${FRONT:+,}$ip:$((port + 2))"
    READY="$READY${READY:+,}$ip:$((port + 3))"
  done
  SERVERS="$net.200:$((port + 6))"
  RECORD="$here/record.txt"
  export CONTROL FRONT READY CONTROL_PIDS ENTRY_PIDS SERVERS RECORD TROUBLE
}
