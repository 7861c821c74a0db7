#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2. They need Boost.JSON only, which the
# deploy file declares. Run from anywhere.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=""
for source in review/standin-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "target/review-2/$name.o" &
    pids="$pids $!"
done
for each in $pids; do wait "$each"; done
g++ -o target/review-2/review_standin_2 target/review-2/*.o -lboost_json -lpthread
