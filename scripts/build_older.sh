#!/usr/bin/env bash
# Builds the program of an earlier commit in BUILD/older, for the soak of fleets
# in which hosts of two versions run side by side.
# Usage: build_older.sh BUILD [COMMIT]
set -eu
cd "$(dirname "$0")/.."
build=$(readlink -f "$1")
commit=${2:-3343c00}
folder=$build/older
if [ ! -d "$folder/source" ]; then
  git clone -q --no-checkout . "$folder/source"
fi
git -C "$folder/source" checkout -q --detach "$commit"
cmake -S "$folder/source" -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DTOUCANRIDGE_DEVELOPMENT=OFF >/dev/null
# With relative paths, ccache finds the objects of earlier builds elsewhere.
export CCACHE_BASEDIR=$folder
cmake --build "$folder" --target toucanridge >/dev/null
