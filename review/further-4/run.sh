#!/bin/sh
# Three agents, an operator whose first call is late in the network, and two holders of a lease. Takes about 12 s, and
# about 30 s with TROUBLE=0.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/rig ] || { echo "run review/build.sh first"; exit 2; }
exec ../bin/rig late-slots ../.. record.txt
