#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. Run it from anywhere; needs no network.
cd "$(dirname "$0")/.." && mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-rig ./review/_rig
