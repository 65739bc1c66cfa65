#!/usr/bin/env bash
# Runs ctest with the arguments given, and passes where all tests pass but those that KNOWN-RED.txt lists. Each
# line of that file is TEST | CAUSE | ISSUE; lines that begin with # are comments. Three tests at most may stand
# there. The listed tests run all the same; each one that fails is printed with its cause, and so is each one
# that passes, since its line is to go then.
set -u
known_red="$(dirname "$0")/../KNOWN-RED.txt"
most_listed=3
log=$(mktemp)
trap 'rm -f "$log"' EXIT

ctest "$@" 2>&1 | tee "$log"
status=${PIPESTATUS[0]}

listed=()
causes=()
if [ -f "$known_red" ]; then
  while IFS='|' read -r name cause; do
    name=$(echo "$name" | xargs)
    [ -z "$name" ] && continue
    case "$name" in \#*) continue ;; esac
    listed+=("$name")
    causes+=("$cause")
  done < "$known_red"
fi
if [ "${#listed[@]}" -gt "$most_listed" ]; then
  echo "KNOWN-RED.txt lists ${#listed[@]} tests; $most_listed are allowed"
  exit 1
fi

mapfile -t failed < <(sed -n '/^The following tests FAILED:/,$p' "$log" | sed -nE 's/^[[:space:]]*[0-9]+ - (.*) \(.*\)[[:space:]]*$/\1/p')
if [ "$status" -ne 0 ] && [ "${#failed[@]}" -eq 0 ]; then
  exit "$status"
fi
unexpected=0
for test in ${failed[@]+"${failed[@]}"}; do
  found=no
  for k in ${listed[@]+"${!listed[@]}"}; do
    if [ "${listed[$k]}" = "$test" ]; then
      found=yes
      echo "known red: $test |${causes[$k]}"
    fi
  done
  [ "$found" = yes ] || unexpected=1
done
for name in ${listed[@]+"${listed[@]}"}; do
  # Only tests that this run includes can have passed.
  if grep -qE "Test +#[0-9]+: $name .*Passed" "$log"; then
    echo "listed in KNOWN-RED.txt but passed: $name"
  fi
done
exit "$unexpected"
