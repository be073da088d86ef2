#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
