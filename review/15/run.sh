#!/usr/bin/env bash
# A batch job that is accepted after a change of the configuration runs as only the older version
# allows. TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
TROUBLE="$TROUBLE" "$program" stale-route review/15/record.txt
exit $?
