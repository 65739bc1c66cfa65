#!/bin/sh
# Builds the stand-ins of all cases: one program a case, C++20 and the C++ library alone.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
for source in "$here"/[0-9]*/case.cpp; do
  [ -f "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -Wno-psabi -pthread -I"$here/stand" -o "$here/bin/case$name" "$source"
done
