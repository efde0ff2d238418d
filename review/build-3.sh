#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
    g++ -std=c++20 -O1 -g -I review/standin-3 -I /usr/include/jsoncpp "$source" \
        -o "target/review-3/$(basename "$source" .cpp)" -ljsoncpp -lpthread
done
