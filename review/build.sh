#!/usr/bin/env bash
# Compiles the cases and their stand-ins, which are in 1/; they need just the standard library.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q ./[1-5]
