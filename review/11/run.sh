#!/usr/bin/env bash
# An emptied storage machine is given a seat of the job group again before it is removed.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
"$program" retired-store review/11/record.txt
exit $?
