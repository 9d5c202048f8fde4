#!/usr/bin/env bash
# Batch jobs wait for good behind those of a service that has no server.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
TROUBLE="$TROUBLE" "$program" starved-jobs review/13/record.txt
exit $?
