#!/bin/sh
# Runs the case of a folder, which its run.sh names. Exit: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
here=$1
root=$(cd "$here/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program="$root/review/bin/case$(basename "$here")"
if [ -z "$run" ] || [ ! -x "$program" ] || [ ! -x "$root/build/calicograded" ]; then
  echo "could not run: build by deploy/balancer.toml and review/build.sh first"
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 115 "$program" "$root" "$run" "$here" "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
