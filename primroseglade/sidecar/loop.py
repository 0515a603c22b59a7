"""The event loop of the platform's node."""

import asyncio
import os

# The loop's C library opens rings of io_uring when it starts, which instances do not
# allow. Up to uvloop 0.21 this variable keeps it from that; later versions open one
# whatever it says, so that the version is pinned and a test looks for rings.
IO_URING_VARIABLE = "UV_USE_IO_URING"


def build_loop() -> asyncio.AbstractEventLoop:
    """Return a loop on uvloop: calls cost less than on the interpreter's own."""
    # Read once, when the library makes its first loop.
    os.environ[IO_URING_VARIABLE] = "0"
    import uvloop

    return uvloop.new_event_loop()
