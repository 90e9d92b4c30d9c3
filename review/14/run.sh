#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption. Before: the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/nettlewalk ] && [ -x target/standin-3 ] || exit 2
exec target/standin-3 joined review/14/record.txt
