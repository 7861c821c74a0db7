#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/standin-3"
out=../../target/review-3
mkdir -p "$out"
jobs=()
for source in *.cpp; do
    g++ -std=c++20 -O1 -Wall -Wno-mismatched-new-delete -c "$source" -o "$out/${source%.cpp}.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ "$out"/*.o -o "$out/standin" -lpthread
