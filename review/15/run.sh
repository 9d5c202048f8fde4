#!/usr/bin/env bash
# A batch job that was refused at every attempt runs later.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
TROUBLE="$TROUBLE" "$program" late-job review/15/record.txt
exit $?
