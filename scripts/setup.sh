#!/usr/bin/env bash
# Installs what the program and its tests are built with; Debian packages only.
set -eu
packages="g++ cmake make libboost1.81-dev libcli11-dev libspdlog-dev nlohmann-json3-dev libxml2-dev libxxhash-dev
  libhdf5-dev gnuplot-nox libflatbuffers-dev flatbuffers-compiler libgtest-dev librapidcheck-dev curl"
missing=""
for p in $packages; do dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"; done
[ -z "$missing" ] && exit 0
sudo=""; [ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update
# shellcheck disable=SC2086
$sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $missing
