#!/usr/bin/env bash
# Runs one case: its number. Exit 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
number=$1 program="$root/build-review-2/case-$1"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -x "$program" ] || { echo "not built: run the build of the deploy file, then review/build-2.sh" >&2; exit 2; }
[ -n "$run" ] || { echo "deploy/balancer.toml names no run command" >&2; exit 2; }
exec timeout -k 5 115 "$program" "$root/review/$number/record.txt" "$root" "$run"
