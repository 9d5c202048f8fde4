#!/usr/bin/env bash
# A batch job that was refused at every attempt runs later.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/review-cases
[ -x "$program" ] && [ -x target/release/chicoryladderd ] || exit 2
"$program" late-job review/15/record.txt
exit $?
