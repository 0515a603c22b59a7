"""Entry point of ``python -m primroseglade`` and of the installed command."""

import sys

from .core import main


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(main())


if __name__ == "__main__":
    run()
