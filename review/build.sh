#!/bin/sh
# Builds the stand-ins and drivers of the cases. The package has no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --offline --quiet
