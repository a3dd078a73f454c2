#!/bin/sh
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
REVIEW_CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
REVIEW_ROOT=$(cd "$REVIEW_CASE/../.." && pwd) || exit 2
export REVIEW_CASE REVIEW_ROOT
for program in target/release/corkhollow review/standins/target/release/slow_readers; do
    if [ ! -x "$REVIEW_ROOT/$program" ]; then
        echo "$program is not built"
        exit 2
    fi
done
exec "$REVIEW_ROOT/review/standins/target/release/slow_readers"
