#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exit status: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review exec python3 review/4/case.py
