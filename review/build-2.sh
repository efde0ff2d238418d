#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -g -I review/standin-2 -I /usr/include/jsoncpp "$source" \
        -o "target/review-2/$(basename "$source" .cpp)" -ljsoncpp -lmicrohttpd -lpthread
done
