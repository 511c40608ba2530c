#!/usr/bin/env bash
# Plays the case with the number $1 once without its disruption and five times with it, and prints the statuses.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=0 bash "review/$1/run.sh" >/dev/null 2>&1
echo "case $1 without the disruption: status $?"
for play in 1 2 3 4 5; do
	verdict=$(bash "review/$1/run.sh" 2>&1)
	echo "case $1 play $play: status $?, $verdict"
done
