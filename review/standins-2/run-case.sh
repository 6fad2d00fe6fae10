#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
standins=target/review-2/standins
if [ ! -x "$standins" ] || [ ! -x target/release/hickory-platform ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
settings=$(mktemp -d)
# A process group of its own, so that the gateways end with the stand-ins in any case.
set -m
timeout 118 "$standins" "$case_name" "${RECORD:-$folder/record.txt}" "$settings" &
group=$!
set +m
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$settings"' EXIT
wait "$group"
status=$?
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
