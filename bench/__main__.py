"""``python -m bench NAME [--json]``: run one benchmark and print its figures."""

import argparse
import asyncio
import json
import sys

# Importing a benchmark registers it.
from . import (  # noqa: F401
    choices,
    fleet_rates,
    members,
    overhead,
    policy,
    rates,
    tables,
    withdraw,
)
from .registry import get_benchmarks


def main() -> int:
    """Run one benchmark and print its figures."""
    benchmarks = get_benchmarks()
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("name", choices=sorted(benchmarks))
    parser.add_argument("--json", action="store_true", help="print the figures as JSON")
    parser.add_argument("--deployment", choices=("split", "lagos"), default="split")
    parser.add_argument(
        "--seconds",
        type=float,
        default=0.0,
        help="duration (0: the benchmark's default)",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=5, help="number of seeds (fleet-rates)"
    )
    parser.add_argument(
        "--nodes", type=int, default=14, help="number of nodes (fleet-rates)"
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="parallel processes (fleet-rates)"
    )
    parser.add_argument(
        "--off",
        action="append",
        default=[],
        metavar="MECHANISM",
        help="mechanism to disable; may be repeated",
    )
    options = parser.parse_args()
    figures = asyncio.run(benchmarks[options.name](options))
    if options.json:
        print(json.dumps(figures))
    else:
        print_figures(figures)
    return 0


def print_figures(figures: dict, indent: str = "") -> None:
    """Print figures one per line, nested ones indented."""
    for name, value in figures.items():
        if isinstance(value, dict):
            print(f"{indent}{name}")
            print_figures(value, indent + "  ")
        else:
            text = f"{value:.4g}" if isinstance(value, float) else str(value)
            print(f"{indent}{name:<36} {text}")


if __name__ == "__main__":
    sys.exit(main())
