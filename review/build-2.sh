#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Run it from anywhere, after the build of the deploy file; it needs no network.
cd "$(dirname "$0")/.." && mkdir -p target && go build -o target/review-rig2 ./review/_rig2
