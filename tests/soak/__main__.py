"""Command line of the soak."""

import argparse
import os
import shutil
import signal
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.append(str(ROOT / "platform"))

from .runner import Soak  # noqa: E402
from .world import Size  # noqa: E402

PROCESS_MB = 60
"""Memory of one process of the fleet, rounded up."""

MAX_PROCESSES = 250
SIZES = {"small": Size(4, 4, 4), "usual": Size(5, 19, 8)}
SHOWN = ("faults", "requests", "starts", "machine orders", "calm tenths")
REGRESSIONS = Path(__file__).parent / "REGRESSIONS.txt"


def large() -> Size:
    """Return the size that half of the memory and a few hundred processes bear."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    processes = min(MAX_PROCESSES, int(memory / 2 / (PROCESS_MB << 20)))
    return Size(9, processes - 9, 16, machines=4)


def play(seed: int, size: str, seconds: float, folder: Path) -> bool:
    """Play one seed, print its outcome, and return whether all checks passed."""
    folder = folder / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    began_at = time.monotonic()
    report = Soak(seed, SIZES.get(size) or large(), folder).run(seconds)
    verdict = "FAILED" if report.violations else "passed"
    elapsed = time.monotonic() - began_at
    counts = {name: report.counts[name] for name in SHOWN}
    shown = ", ".join(f"{count} {name}" for name, count in counts.items())
    print(f"seed {seed} {size}: {verdict} in {elapsed:.0f} s; {shown}", flush=True)
    for violation in report.violations:
        print(f"  {violation}", flush=True)
    if not report.violations:
        shutil.rmtree(folder)
    return not report.violations


def main() -> int:
    """Play seeds, and return 1 if any check failed."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=50.0)
    parser.add_argument("--size", choices=[*SIZES, "large"], default="usual")
    parser.add_argument("--folder", type=Path, default=ROOT / "run" / "soak")
    parser.add_argument(
        "--regressions", action="store_true", help="play the seeds that have failed"
    )
    options = parser.parse_args()
    # An exception, so that the processes are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    seeds = range(options.seed, options.seed + options.seeds)
    cases = [(seed, options.size, options.seconds) for seed in seeds]
    if options.regressions:
        lines = REGRESSIONS.read_text().splitlines()
        words = [line.split() for line in lines if not line.startswith("#")]
        cases = [(int(row[0]), row[1], float(row[2])) for row in words]
    passed = [play(*case, options.folder) for case in cases]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
