#!/usr/bin/env bash
# Plays the case with the number $1 and writes its record; `TROUBLE=0` leaves the disruption out.
# Status 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f "target/review-3/case-$1.mjs" ] || exit 2
timeout -k 2 116 node "target/review-3/case-$1.mjs" "review/$1/record.txt"
case $? in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
