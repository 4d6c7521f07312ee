#!/bin/bash
# Compiles the stand-ins of the scripts below target/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/lib/*.java review/[1-5]/*.java
