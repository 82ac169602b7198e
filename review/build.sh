#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the project's own programs.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "../target/review/$(basename "$source" .cpp)" "$source"
done
