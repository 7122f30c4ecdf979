#!/bin/sh
# Case 6; TROUBLE=0 plays it without the outage of one core machine. Exits with 1 where the rule was broken, 0 where it held, 2
# where it could not run.
exec timeout -k 5 118 node "$(dirname "$0")/case.mjs"
