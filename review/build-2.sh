#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. Needs what that build needs, no network.
set -eu
cd "$(dirname "$0")/.."
for source in review/*/play.cpp; do
  folder=$(dirname "$source")
  grep -q '../common-2/' "$source" || continue
  mkdir -p build/review-2
  ${CXX:-g++} -std=c++20 -O1 -Wall -o "build/review-2/$(basename "$folder")" "$source" -lnghttp2
done
