#!/bin/sh
# Runs case 7; writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=review/standins-2/target/release/review-2
[ -x "$driver" ] || { echo "build first: cargo build --release; review/build-2.sh" >&2; exit 2; }
exec "$driver" upgrade-id "$here/record.txt"
