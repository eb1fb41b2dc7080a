#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs target/release/celerypondd and review/build.sh.
cd "$(dirname "$0")" || exit 2
harness=../../target/review/release/review-harness
[ -x "$harness" ] || exit 2
exec "$harness" left-engine .
