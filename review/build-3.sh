#!/usr/bin/env bash
# Builds the scripts of the third review and what they start; to be run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -p review/support-3
