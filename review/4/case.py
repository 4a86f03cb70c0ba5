"""All machines are killed at once while the only target of a service comes back cold."""

from __future__ import annotations

import sys
from pathlib import Path

from standins.cold_start import Plan, run_case

PLAN = Plan(targets=1, down_s=1.0, is_silent=False, hosts=18, kills_hosts=True, warmup_per_s=5.0)

if __name__ == "__main__":
    sys.exit(run_case(PLAN, Path(__file__).parent))
