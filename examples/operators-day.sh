#!/bin/bash
# A day of an operator on a dev cluster: budget, race, bill, a broken record, a replaced node, a dump. Exits 0 in under a minute.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
work="$(mktemp -d)"
mkfifo "$work/orders"
"$root/bin/lavendertrail" dev <"$work/orders" >"$work/dev.log" 2>&1 &
dev=$!
exec 3>"$work/orders"
finish() {
    local code=$?
    kill "$dev" 2>/dev/null || true
    wait "$dev" 2>/dev/null || true
    if [ "$code" != 0 ]; then tail -n 20 "$work/dev.log" >&2; fi
    rm -rf "$work"
    exit "$code"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }
fail() {
    echo "operators-day: $*" >&2
    exit 1
}
# Waits up to 30 s for a line of the dev cluster.
await() {
    for _ in $(seq 300); do
        if grep -q "$1" "$work/dev.log"; then return 0; fi
        kill -0 "$dev" 2>/dev/null || fail "the dev cluster ended"
        sleep 0.1
    done
    fail "the dev cluster did not print '$1'"
}
ctl() { "$root/bin/lavendertrailctl" "$@"; }
budget() { printf '{"schemaVersion":1,"name":"desk-day","maxTokens":%s,"maxCostMicros":5000000,"maxTurns":50,"maxWallMillis":600000}' "$1"; }

step "start a dev cluster"
await '^nodes: '
nodes="$(sed -n 's/^nodes: //p' "$work/dev.log")"
export LAVENDERTRAIL_NODE="${nodes%%,*}"
LAVENDERTRAIL_TOKEN="$(sed -n 's/^operator token: //p' "$work/dev.log")"
export LAVENDERTRAIL_TOKEN
echo "nodes: $nodes"

step "apply a budget"
printf '[{"kind":"budget","name":"desk-day","record":%s}]' "$(budget 100000)" >"$work/budget.json"
ctl config apply -f "$work/budget.json"

step "a wrong record is refused whole"
if ctl config set budget desk-day "$(budget 0)"; then fail "a budget of 0 tokens was accepted"; fi

step "two operators change the same revision: one is told who won"
revision="$(ctl config get budget desk-day | sed -n 's/.*"revision": \([0-9]*\).*/\1/p')"
ctl config set budget desk-day "$(budget 200000)" --revision "$revision" >"$work/first" 2>&1 &
first=$!
ctl config set budget desk-day "$(budget 300000)" --revision "$revision" >"$work/second" 2>&1 &
second=$!
won=0
if wait "$first"; then won=$((won + 1)); fi
if wait "$second"; then won=$((won + 1)); fi
cat "$work/first" "$work/second"
[ "$won" = 1 ] || fail "$won of two concurrent changes were accepted"

step "the change comes into force"
ctl config status --wait 8000

step "run a program"
post() {
    curl -sS --fail-with-body "http://$LAVENDERTRAIL_NODE$1" -H 'Authorization: Bearer barakah-desk-token' \
        -H 'Content-Type: application/json' -d "$2"
}
program="$(post /v1/programs '{"account":"barakah-desk","assistant":"permit-renewal"}' | sed -n 's/.*"program":"\([^"]*\)".*/\1/p')"
for position in 0 1; do
    post /v1/chat/completions '{"model":"permit-desk","max_tokens":16,"messages":[{"role":"user","content":"Renew the mooring permit."}],"lavendertrail":{"program":"'"$program"'","position":'"$position"'}}' >/dev/null
done
post "/v1/programs/$program/tools" '{"position":2,"tool":"fee-charge","arguments":"{\"fee\":12}","key":"day-fee-1"}' >/dev/null
ctl explain "$program"
ctl top --count 3

step "verify the bill"
ctl bill export --owner barakah --out "$work/bill.ndjson"
ctl bill verify "$work/bill.ndjson"
ctl bill sum "$work/bill.ndjson"

step "break a record and see it named"
sed 's/"costMicros":200/"costMicros":100/' "$work/bill.ndjson" >"$work/broken.ndjson"
if ctl bill verify "$work/broken.ndjson" >"$work/faults"; then fail "a changed bill was accepted"; fi
cat "$work/faults"
grep -q "of $program was changed" "$work/faults" || fail "the changed record was not named"

step "replace a node"
echo 'replace 2' >&3
await '^\(ok\|error\) replace 2'
grep -q '^ok replace 2' "$work/dev.log" || fail "the node was not replaced"
ctl explain "$program" | tail -n 1

step "read the dump"
ctl dump --all >"$work/dump.json"
ctl poison list
ctl unsettled
[ "$(grep -c '^    "incarnation"' "$work/dump.json")" = 3 ] || fail "the dump does not show 3 nodes"
echo "dump of 3 nodes, $(wc -c <"$work/dump.json") bytes"
