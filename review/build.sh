#!/usr/bin/env bash
# Compiles the cases and their stand-ins to review/dist; needs the packages that the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review
