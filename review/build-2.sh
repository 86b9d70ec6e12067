#!/usr/bin/env bash
# Compiles the drivers of cases 6 and later, with their stand-ins, into
# target/review/. Run it after the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/drive.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review/drive-$number" "$source"
done
