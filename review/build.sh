#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin "$@"; }
compile -c review/standin/world.cpp -o target/review/world.o
for source in review/standin/case_*.cpp; do
  name=$(basename "$source" .cpp)
  compile "$source" target/review/world.o -o "target/review/$name"
done
