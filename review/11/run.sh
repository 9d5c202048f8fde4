#!/usr/bin/env bash
# An emptied storage machine is given a seat of the job group again before it is removed.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
TROUBLE="$TROUBLE" "$program" retired-store review/11/record.txt
exit $?
