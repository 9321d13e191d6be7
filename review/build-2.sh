#!/bin/sh
# Builds the stand-ins of the second review's cases, after the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
mkdir -p review/bin && exec go build -o review/bin/standins ./review/standins
