#!/bin/sh
# Builds what the scripts start beside the program: the project's own stand-ins, in target/, and
# the small ones of this folder, in review/build/. Runs after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DPERSIMMONPOINT_TESTS=OFF >/dev/null
cmake --build target --target persimmonpoint_standin -j6 >/dev/null
mkdir -p review/build
libraries="target/src/libpersimmonpoint_standin.a target/src/libpersimmonpoint_edges.a
    target/src/libpersimmonpoint_core.a"
for case in review/*/case.cpp; do
    folder=$(dirname "$case")
    # shellcheck disable=SC2086
    g++ -std=c++20 -O1 -DBOOST_LOG_DYN_LINK -Isrc -o "review/build/case-$(basename "$folder")" \
        "$case" review/stage/stage.cpp $libraries \
        -lboost_json -lboost_log -lboost_thread -lboost_url -lcrypto -lpthread
done
