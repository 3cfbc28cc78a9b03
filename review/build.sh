#!/bin/sh
# Builds the stand-ins of the cases, one program a case, into target/review. Needs only the C++ compiler.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  ${CXX:-g++} -std=c++17 -O2 -Wall -Wextra -o "target/review/case$number" "$case" || exit 2
done
