#!/bin/sh
# Runs the whole system on loopback: platform, endpoints, two entries, two controls.
# A bundle is published, signed off and rolled; a wave runs under load; a table shows
# the outcomes of the requests and the counts of the endpoints. Meanwhile jobs run on
# the emulated platform while the first of two nodes is ended. Exits with 1 when a
# check fails.
set -eu
PYTHON=${PYTHON:-python3}
OUT=${OUT:-out/demo}
LOG=127.0.0.1:21000
JOBS=6
JOBS_LIMIT_S=20
PIDS=""
mkdir -p "$OUT"

start_program() {
    name=$1
    shift
    "$PYTHON" -m "cardamomgrade.$@" 2>"$OUT/$name.log" &
    PIDS="$! $PIDS"
}

start_node() {
    CARDAMOMGRADE_BOOT="$OUT/jobs/n$1.yaml" "$PYTHON" -m cardamomgrade.jobsd \
        >"$OUT/node-$1.log" 2>&1 &
    PIDS="$! $PIDS"
}

job() {
    CARDAMOMGRADE_BOOT="$OUT/jobs/n2.yaml" "$PYTHON" -m cardamomgrade.ctl job "$@"
}

# Submits jobs, ends the node that schedules them and waits until all are completed.
run_jobs() {
    start_node 1
    FIRST=$!
    sleep 3
    start_node 2
    for number in $(seq "$JOBS"); do
        job submit notices examples/jobs/notice.json --id "00000000000000a$number" \
            >"$OUT/submitted.txt"
    done
    kill "$FIRST"
    for _ in $(seq "$JOBS_LIMIT_S"); do
        job list --json >"$OUT/jobs.json"
        "$PYTHON" scripts/demo_jobs.py "$OUT/jobs.json" "$JOBS" >"$OUT/jobs.txt" && return
        sleep 1
    done
    return 1
}

stop_all() {
    for pid in $PIDS; do
        kill "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}
trap stop_all EXIT

ctl() {
    operator=$1
    shift
    "$PYTHON" -m cardamomgrade.ctl --log "$LOG" --operator "$operator" "$@"
}

# Publishes, signs off and rolls one bundle file.
release() {
    ctl n-benali bundle publish --json "$1" >"$OUT/published.json"
    digest=$("$PYTHON" -c 'import json,sys; print(json.load(open(sys.argv[1]))["digest"])' \
        "$OUT/published.json")
    ctl s-alami bundle sign-off "$digest"
    ctl s-alami bundle roll "$digest"
}

"$PYTHON" scripts/demo_settings.py "$OUT"
rm -rf "$OUT/jobs"
start_program emulator emulator.program "$OUT/jobs" --nodes 2 >"$OUT/emulator.txt"
start_program platform standin "$OUT/platform.ini"
for zone in agdal hay-riad souissi temara; do
    start_program "zone-$zone" standin "$OUT/zone-$zone.ini"
done
for number in 1 2; do
    start_program "entry-$number" entry "examples/agence/entry-$number.ini"
    start_program "control-$number" control "examples/agence/control-$number.ini"
done
sleep 2
release "$OUT/bundle-1.ini"
sleep 1

set --
while read -r address; do
    set -- "$@" --endpoint "$address"
done <"$OUT/endpoints.txt"
"$PYTHON" -m cardamomgrade.load --entry 127.0.0.1:21010 --entry 127.0.0.1:21011 \
    --path /fines --path /formal-notices --path /reminders "$@" \
    --rate 60 --seconds 32 --work-ms 20 >"$OUT/load.json" &
LOAD=$!
sleep 1
release "$OUT/bundle-2.ini"
STATUS=0
run_jobs || STATUS=1
cat "$OUT/jobs.txt"
wait "$LOAD" || STATUS=$?
ctl n-benali wave status --json >"$OUT/waves.json"
ctl n-benali bundle status --json >"$OUT/bundles.json"
"$PYTHON" scripts/demo_table.py "$OUT" || STATUS=1
exit "$STATUS"
