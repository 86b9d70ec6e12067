#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "review/bin/case-$number"
done
