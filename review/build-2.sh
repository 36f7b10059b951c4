#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, into target/review-2/. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for part in rig clients; do
    g++ "${flags[@]}" -c "review/support-2/$part.cpp" -o "$out/$part.o"
done
for program in frozen_dial reused_address slow_reader forgotten_leave clock_step; do
    g++ "${flags[@]}" "review/support-2/$program.cpp" "$out/rig.o" "$out/clients.o" -o "$out/$program"
done
