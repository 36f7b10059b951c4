#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the compiler that deploy/system.toml names, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/[0-9]*/case.cpp; do
    number="$(basename "$(dirname "$it")")"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support -o "target/review/case-$number" "$it" review/support/*.cpp
done
