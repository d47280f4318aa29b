#!/usr/bin/env bash
# Measures the control-plane cost of one idle yuccareeld among 8 real instances
# and among many that one process plays; prints one line for each size.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${SECONDS_PER_SIZE:-20}
cargo build --release --quiet --bin yuccareeld --example control_cost
target=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
printf '%6s%6s%10s%11s%9s%9s%9s%9s%9s%9s\n' nodes peers replicas customers change/s cpu% rss_MB KB/s readyz kv_r/s
measure() {
    rm -f "$work"/*
    "$target/examples/control_cost" --seconds "$seconds" --settings-file "$work/settings" \
        --pid-file "$work/pid" "$@" 2>"$work/log" &
    local world=$!
    until [ -f "$work/settings" ]; do
        kill -0 "$world" 2>/dev/null || { cat "$work/log" >&2; return 1; }
        sleep 0.1
    done
    # The subshell keeps the settings out of the next measurement.
    (set -a && . "$work/settings" && exec "$target/yuccareeld") >"$work/instance" 2>&1 &
    local instance=$!
    echo "$instance" >"$work/pid"
    wait "$world" || { cat "$work/log" "$work/instance" >&2; kill "$instance"; return 1; }
    kill -9 "$instance" 2>/dev/null || true
    wait "$instance" 2>/dev/null || true
}
measure --nodes 8 --real
measure --nodes 8
measure --nodes 200
measure --nodes 1300
measure --nodes 8 --replicas 10000
measure --nodes 8 --customers 1000
measure --nodes 8 --changes 2
measure --nodes 1300 --replicas 10000 --customers 1000
measure --nodes 1300 --replicas 10000 --customers 1000 --changes 1
