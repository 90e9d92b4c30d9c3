#!/usr/bin/env bash
# Plays the case. Build before: the build line of deploy/system.toml, then review/build.sh.
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 plays it
# without the disruption.
set -u
cd "$(dirname "$0")/../../.." || exit 2
if [ ! -x target/nettlewalk ] || [ ! -x target/review-standin ]; then
  echo "target/nettlewalk or target/review-standin is missing: build first" >&2
  exit 2
fi
exec target/review-standin promoted-unregistered review/earlier/4/record.txt
