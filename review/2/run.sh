#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-case ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/release/review-case two-gone review/2
