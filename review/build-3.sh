#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 (clients, servers and the platform) into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o target/review-3/standins review/standins-3/*.cpp
