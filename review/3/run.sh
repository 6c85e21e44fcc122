#!/usr/bin/env bash
# Plays the case against the built programs. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/tier ] || [ ! -x target/review/standin ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
timeout 118 target/review/standin late-copy review/3
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
