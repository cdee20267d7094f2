#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the
# packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/check.cpp; do
  if [ -f "$source" ]; then
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-mismatched-new-delete \
      "$source" review/stand-in-2/json.cpp -o "target/review-2/case-$number" -pthread
  fi
done
