#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q ./*.py ./[1-5]
