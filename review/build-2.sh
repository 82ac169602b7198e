#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review/. Needs g++ alone; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[4-8]/*.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
