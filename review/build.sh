#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. Needs g++ and jsoncpp only,
# which the build of the deploy file needs too.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I/usr/include/jsoncpp -Ireview/standin \
        -o "target/review/case-$number" "$source" review/standin/standin.cpp -ljsoncpp
done
