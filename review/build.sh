#!/usr/bin/env bash
# Builds the stand-ins (review/world.*) and the checks of the cases (review/N/case.cpp) into target/review. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview "$@"; }
compile -c review/world.cpp -o target/review/world.o
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  compile "$source" target/review/world.o -o "target/review/case_$number"
done
