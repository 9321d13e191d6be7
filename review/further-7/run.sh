#!/bin/sh
# Plays the case that claim.txt describes; TROUBLE=0: without the disruption.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/tulipglade bin/tulipagent bin/tulipctl review/bin/standins; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec review/bin/standins holder-killed review/further-7
