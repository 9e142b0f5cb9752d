#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/headhill ] && [ -x target/review2/driver2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec target/review2/driver2 -case drill-and-holders -trouble=$trouble -seed "${SEED:-1}" -record review/9/record.txt
