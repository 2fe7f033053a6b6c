#!/usr/bin/env bash
# Starts the whole path as separate processes on loopback: platform stand-in, three entry
# instances, upstreams of two services. Ctrl-C stops all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
bin=target/release
dir=$(mktemp -d)
secret=local-development
entries=()
others=()

stop() {
    trap - EXIT INT TERM
    # Instances first, so that they can hand over and store their record.
    kill -TERM "${entries[@]}" 2>/dev/null || true
    wait "${entries[@]}" || true
    kill -TERM "${others[@]}" 2>/dev/null || true
    wait
    echo "Logs and settings are in $dir"
}
trap stop EXIT INT TERM

start() {
    "$@" &
    others+=($!)
}

start $bin/mulberry-standin platform --listen 127.0.0.1:7000 >"$dir/platform.log"
upstreams=()
add_upstream() { # name service port fenced
    start $bin/mulberry-standin upstream --name "$1" --listen "127.0.0.1:$3" $4 >"$dir/$1.log"
    upstreams+=("{ \"kind\": \"Upstream\", \"name\": \"$1\", \"service\": \"$2\",
        \"address\": \"127.0.0.1:$3\", \"data_center\": \"kano-1\" }")
}
for n in 1 2 3; do add_upstream "foldbook-$n" foldbook "710$n" --fenced; done
for n in 1 2; do add_upstream "paperdesk-$n" paperdesk "720$n" ""; done

for n in 1 2 3; do
    cat >"$dir/entry-$n.jsonc" <<JSON
{
  "instance": "entry-$n",
  "data_center": "kano-1",
  "rack": "rack-$n",
  "listen": "127.0.0.1:80${n}0",
  "admin": "127.0.0.1:80${n}1",
  "peer": "127.0.0.1:80${n}2",
  "platform": "127.0.0.1:7000",
  "secret": "$secret"
}
JSON
    $bin/mulberryd --settings "$dir/entry-$n.jsonc" >"$dir/entry-$n.log" &
    entries+=($!)
done

(
    IFS=,
    echo "[${upstreams[*]}]"
) >"$dir/upstreams.json"
ctl="$bin/mulberryctl --admin 127.0.0.1:8011,127.0.0.1:8021,127.0.0.1:8031 --secret $secret"
sleep 1
$ctl apply examples/resources "$dir/upstreams.json" --wait
cat <<TEXT

Running. Try:
  curl -i http://127.0.0.1:8010/patterns/crane
  curl -i -X POST -H 'idempotency-key: 1' -d '20 sheets' http://127.0.0.1:8020/orders
  $ctl status
Ctrl-C stops everything.
TEXT
wait
