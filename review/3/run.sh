#!/usr/bin/env bash
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 there is no disruption, only the planned restarts of the relays.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-world ] && [ -x target/dandelionhitch ] || exit 2
exec target/review-world -program target/dandelionhitch -scenario stale-consent -record review/3/record.txt
