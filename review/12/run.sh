#!/usr/bin/env bash
# A late call takes a server that has started again out of use.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
TROUBLE="$TROUBLE" "$program" late-departure review/12/record.txt
exit $?
