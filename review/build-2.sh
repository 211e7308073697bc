#!/usr/bin/env bash
# Builds the scripts of the cases 6 to 10 and their stand-ins into review/support-2/dist.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/support-2/dist
npx --no-install tsc -p review/support-2
