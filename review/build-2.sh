#!/usr/bin/env bash
# Builds the stand-ins and checks of this review's cases, after the build of the deploy file. A C++20 compiler, no packages.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$source"
done
