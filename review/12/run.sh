#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review-3/review3/Case12.class ] && [ -f target/lavendertrail-platform.jar ] || exit 2
exec java -Xmx200m -cp target/review-3 review3.Case12 "$here/record.txt"
