#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/lab ./review/lab
