#!/bin/sh
# Builds the stand-ins and the players of the cases 11 to 15. Run it in the repository after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/lib-3/*.java review/1[1-5]/*.java
