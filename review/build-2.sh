#!/bin/sh
# Builds the stand-ins of the cases 4 to 7 into review/bin/.  The routers that
# the scripts start are built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/standins-2/case*.cc; do
  c++ -std=c++17 -O1 -Wall -Wextra -pthread \
    -o "review/bin/$(basename "$source" .cc)" "$source"
done
