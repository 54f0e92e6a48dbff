#!/usr/bin/env bash
# Installs the Debian packages that the build, tests and plots need; packages
# that are present are skipped.
set -eu
packages="g++ cmake make ninja-build ccache clang-format clang-tidy curl
  libcereal-dev libboost-dev libboost-system-dev
  libboost-program-options-dev liblog4cplus-dev libcppunit-dev
  libxxhash-dev libexpected-dev rapidjson-dev gnuplot-nox python3"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq $missing >/dev/null
