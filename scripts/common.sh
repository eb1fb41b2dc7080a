# Sourced by the demos: starts stand-ins and three instances on loopback, and kills them on exit.
# shellcheck shell=bash
cargo build -q --locked -p celerypond-daemon -p celerypond-cli -p celerypond-testutils
bin_dir=target/debug
out=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }
fail() { printf 'FAILED: %s\n(logs are in %s)\n' "$*" "$out"; exit 1; }
# Starts a command in the background, with its output in $out, and sets `started` to its process ID.
start() { # name command…
    local name=$1
    shift
    "$@" >"$out/$name.out" 2>"$out/$name.log" &
    pids+=($!)
    started=$!
}
# Retries a command until it succeeds, for about 10 s.
until_ok() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    return 1
}
# Runs the CLI against all three instances.
cli() { "$bin_dir/celerypond" --at 127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003 "$@"; }
# Succeeds if an instance, given by its number, reports that it is ready.
is_ready() { curl -sf "http://127.0.0.1:700$1/v1/ready"; }

for port in 7001 7002 7003 7011 7012 7013 7100 7201 7202 7203 7301; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then fail "port $port is in use"; fi
done

step "start a stand-in platform, three engines, a plain service and three instances"
centres=(east west north)
{
    printf '{"instances":['
    for i in 1 2 3; do
        [ "$i" = 1 ] || printf ','
        printf '{"name":"entry-%s","address":"127.0.0.1:700%s","peer_address":"127.0.0.1:701%s","data_centre":"%s","state":"live"}' \
            "$i" "$i" "$i" "${centres[$((i - 1))]}"
    done
    printf ']}'
} >"$out/instances.json"
start platform "$bin_dir/celerypond-standin" platform 127.0.0.1:7100 "$out/instances.json"
engines=()
entries=()
for i in 1 2 3; do
    start "engine-$i" "$bin_dir/celerypond-standin" engine "127.0.0.1:720$i" v1 --gap-ms 10
    engines+=("$started")
done
start desk "$bin_dir/celerypond-standin" service 127.0.0.1:7301
for i in 1 2 3; do
    sed -e "s/entry-1/entry-$i/; s/7001/700$i/; s/7011/701$i/; s/\"east\"/\"${centres[$((i - 1))]}\"/" \
        examples/settings.json >"$out/entry-$i.json"
    "$bin_dir/celerypondd" --config "$out/entry-$i.json" --check || fail "settings of entry-$i"
    start "entry-$i" "$bin_dir/celerypondd" --config "$out/entry-$i.json"
    entries+=("$started")
done
until_ok curl -sf http://127.0.0.1:7003/v1/health || fail "the instances did not start"

