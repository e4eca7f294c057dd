#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig2 ] && [ -x target/oxbowspan-control ] && [ -x target/oxbowspan-gateway ] || exit 2
exec target/review-rig2 memory review/8/record.txt
