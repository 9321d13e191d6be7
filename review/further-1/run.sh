#!/bin/sh
# One node and six backends; clients send a read and five rides in two bursts. Takes about 8 s.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/rig ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/rig burst ../.. record.txt
