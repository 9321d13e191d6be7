#!/bin/sh
# One node gets SIGTERM while half of its backends hang and clients write slowly. Takes about 10 s.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/rig ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/rig restart ../.. record.txt
