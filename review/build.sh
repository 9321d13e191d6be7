#!/bin/sh
# Builds the stand-ins that the cases start, with the Go tool chain alone. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
