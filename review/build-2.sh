#!/bin/sh
# Builds what the scripts of the second review start, beside the program of the deploy file's
# build. From the repository's root: sh review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DPERSIMMONPOINT_TESTS=OFF >/dev/null
cmake --build target --target persimmonpoint_standin -j6 >/dev/null
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -DBOOST_LOG_DYN_LINK -Isrc"
libraries="target/src/libpersimmonpoint_standin.a target/src/libpersimmonpoint_edges.a
    target/src/libpersimmonpoint_core.a target/src/libpersimmonpoint_edges.a
    -lboost_json -lboost_log -lboost_thread -lboost_system -lboost_url -lssl -lcrypto -lpq
    -lpg_query -lpthread"
c++ $flags -c review/stage-2/stage.cpp -o "$out/stage.o"
for source in review/6/*.cpp review/7/*.cpp review/8/*.cpp review/9/*.cpp review/10/*.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    c++ $flags "$source" "$out/stage.o" $libraries -o "$out/case-$name"
done
