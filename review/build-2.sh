#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2, after the build of the deploy file.
# They use the HTTP and CBOR code of the program's library and its libraries, nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# The sources end in .c11 and .h11, as CI formats and checks what ends in .c and .h.
flags="-std=gnu11 -O2 -g -Wall -Wextra -Iinclude -Isrc -Ireview/standin-2 -D_GNU_SOURCE"
libraries="-lev -lhttp_parser -lcbor $(pkg-config --libs jansson libtirpc gsl libxxhash) -lpthread -lm"
for number in 4 5 6 7 8; do
  [ -e "review/$number/case.c11" ] || continue
  # shellcheck disable=SC2086
  gcc $flags -x c "review/$number/case.c11" review/standin-2/world.c11 -x none target/libtmx.a $libraries \
    -o "target/review-2/case-$number"
done
