#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/bin/. Needs the
# compiler and the JSON library of the deploy file's packages, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
Flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $Flags -c review/common/stand_in.cpp -o review/bin/stand_in.o
for Source in review/[123]/case.cpp; do
  Number=$(basename "$(dirname "$Source")")
  g++ $Flags "$Source" review/bin/stand_in.o -o "review/bin/case$Number"
done
