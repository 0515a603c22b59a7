"""``python -m soak``: run seeds, print violations and exit with 1 if there are any."""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile

from .run import Soak


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument(
        "--seed",
        type=int,
        action="append",
        help="seed to run; may be repeated (default: random)",
    )
    parser.add_argument(
        "--runs", type=int, default=1, help="random seeds to run without --seed"
    )
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the faults"
    )
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--folder", help="keeps settings and logs (default: temporary)")
    return parser


def main() -> int:
    """Run the seeds one after the other; return 1 if any violated a guarantee."""
    options = build_parser().parse_args()
    # Handle SIGTERM like Ctrl-C: its default action would leave the started processes
    # running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    seeds = options.seed or [random.randrange(10**6) for _ in range(options.runs)]
    failed_seeds = 0
    for seed in seeds:
        folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
        folder.mkdir(exist_ok=True)
        soak = Soak(seed, options.seconds, options.nodes, folder)
        violations = asyncio.run(soak.run())
        sent = len(soak.record.requests)
        served = sum(request.status == 200 for request in soak.record.requests.values())
        print(f"seed {seed}: {len(soak.faults)} faults, {served} of {sent} served")
        for line in violations[:20]:
            print(f"  VIOLATION: {line}")
        if violations:
            failed_seeds += 1
            print(f"  logs: {folder}")
            for fault in soak.faults:
                print(f"  {fault}")
        sys.stdout.flush()
    print(f"{len(seeds) - failed_seeds} seeds passed, {failed_seeds} failed")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
