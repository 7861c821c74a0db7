#!/bin/sh
# Builds the stand-ins of all cases into target/review. They need Boost only, as the deploy file
# declares it. Run from anywhere; takes about a minute.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for each in main world cases; do
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -c "review/standin/$each.cpp" -o "target/review/$each.o" &
    pids="$pids $!"
done
for each in $pids; do wait "$each"; done
g++ -o target/review/review_standin target/review/main.o target/review/world.o \
    target/review/cases.o -lboost_json -lpthread
