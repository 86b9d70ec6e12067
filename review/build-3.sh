#!/usr/bin/env bash
# Compiles each review/N/scene.cpp (stand-ins included) to target/review/scene-N.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/scene.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/scene-$number"
done
