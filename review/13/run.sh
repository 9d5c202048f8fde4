#!/usr/bin/env bash
# Batch jobs wait for good behind those of a service that has no server.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
"$program" starved-jobs review/13/record.txt
exit $?
