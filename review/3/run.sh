#!/bin/sh
# One node and six backends, one of which hangs; clients send long bodies. Takes about 30 s.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/rig ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/rig hang ../.. record.txt
