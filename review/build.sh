#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program of the instances is built by the deploy
# file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
