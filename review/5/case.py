"""The only target of a service falls silent for two seconds and comes back cold."""

from __future__ import annotations

import sys
from pathlib import Path

from cold_start import Plan, run_case

if __name__ == "__main__":
    sys.exit(run_case(Plan(targets=1, down_s=2.0, is_silent=True), Path(__file__).parent))
