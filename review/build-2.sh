#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into review/bin/.
# Needs only the packages of deploy/system.toml, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for Case in review/[4-6]/case.cpp; do
  Number=$(basename "$(dirname "$Case")")
  # shellcheck disable=SC2046 # The words of pkg-config are options.
  g++ -std=c++20 -O1 -Wall -Wextra "$Case" -o "review/bin/case-$Number" \
    $(pkg-config --cflags --libs cpp-httplib libcrypto) -pthread
done
