"""The two targets of a service crash and come back together after two seconds, cold."""

from __future__ import annotations

import sys
from pathlib import Path

from cold_start import Plan, run_case

if __name__ == "__main__":
    sys.exit(run_case(Plan(targets=2, down_s=2.0, is_silent=False), Path(__file__).parent))
