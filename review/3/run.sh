#!/bin/sh
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
REVIEW_CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
REVIEW_ROOT=$(cd "$REVIEW_CASE/../.." && pwd) || exit 2
TMPDIR=$(mktemp -d) || exit 2
REVIEW_PIDS=$TMPDIR/pids
export REVIEW_CASE REVIEW_ROOT REVIEW_PIDS TMPDIR
standin=$REVIEW_ROOT/review/standins/target/release/slow_readers
for program in "$REVIEW_ROOT/target/release/corkhollow" "$standin"; do
    if [ ! -x "$program" ]; then
        echo "$program is not built"
        rm -rf "$TMPDIR"
        exit 2
    fi
done
# The stand-in ends the node. If this script is ended first, it ends both.
trap 'kill -KILL "$pid" $(cat "$REVIEW_PIDS") 2>/dev/null; rm -rf "$TMPDIR"; exit 2' HUP INT TERM
"$standin" &
pid=$!
wait "$pid"
code=$?
rm -rf "$TMPDIR"
exit "$code"
