#!/bin/sh
# Runs case 6; writes record.txt beside this script. TROUBLE=0 leaves the disruption out.
# VARIANT=value plays the second way to see the same fault, see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=review/standins-2/target/release/review-2
[ -x "$driver" ] || { echo "build first: cargo build --release; review/build-2.sh" >&2; exit 2; }
case=upgrade-request
[ "$VARIANT" = value ] && case=upgrade-value
exec "$driver" "$case" "$here/record.txt"
