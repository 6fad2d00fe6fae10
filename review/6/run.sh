#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-2/run-case.sh" fatal-part-in-long-prompt "$here"
