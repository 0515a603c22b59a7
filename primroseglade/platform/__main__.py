"""Entry point of the node on the platform: ``python -m primroseglade.platform``."""

import asyncio
import gc
import os
import signal
import sys

from ..errors import PrimrosegladeError
from ..observe.events import Journal, SETTINGS_CHANGED
from ..observe.lines import LineHandler
from ..sidecar.loop import build_loop
from ..sidecar.node import SidecarNode
from .dialect import PlatformDialect
from .reports import build_control_handler, build_readiness_handler
from .settings import load_settings, PlatformSettings
from .store import StoreClient

SETTINGS_VARIABLE = "PRIMROSEGLADE_SETTINGS"
# Net allocations that trigger a collection of the youngest generation. A request makes
# some hundred objects and leaves no reference cycles, so rarer collections cause fewer
# pauses and cost no memory.
GC_THRESHOLD = 50_000


async def run(settings: PlatformSettings, path: str) -> None:
    """Run the node until SIGTERM or SIGINT."""
    journal = Journal(settings.node.name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: journal.emit(SETTINGS_CHANGED, path=path)
    )
    node = SidecarNode(
        settings.node,
        PlatformDialect(),
        StoreClient(settings.store, journal),
        journal,
        build_readiness_handler,
        lambda node: build_control_handler(node, journal),
    )
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    await node.run(stopping)


def main() -> int:
    """Run the node and return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    handler = LineHandler()
    with handler.applicationbound():
        try:
            settings = load_settings(path)
            with asyncio.Runner(loop_factory=build_loop) as runner:
                runner.run(run(settings, path))
        except PrimrosegladeError as error:
            print(f"primroseglade: {error}", file=sys.stderr)
            return int(error.status)
        finally:
            handler.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
