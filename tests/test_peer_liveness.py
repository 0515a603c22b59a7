"""How soon a node notices that the stream to a peer is dead."""

import asyncio

from primroseglade.emulator.virtual_time import run_in_virtual_time
from primroseglade.observe.events import Journal
from primroseglade.sidecar.frames import Frame
from primroseglade.sidecar.model import NodeEntry
from primroseglade.sidecar.peer import Peer

CHECK_SECONDS = 0.1


class SilentStream:
    """A stream that drops what is sent; the test sets when data was last received."""

    is_cross_zone = False

    def __init__(self) -> None:
        self.closed = False
        self.last_received_at = 0.0

    def send(self, frame: Frame, route: str = "") -> None:
        """Drop a frame."""

    def close(self) -> None:
        """Close the stream."""
        self.closed = True


def test_silence_after_a_state_is_noticed_as_soon_as_any_other():
    """Guards against calls that wait 2 s for a silent node, until their deadline. The
    last frame before the silence arrives after a ping whose answer is lost: the ping
    seems to be neither answered nor ignored, and none is sent after it.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        entry = NodeEntry("n-1", "127.0.0.1:1", "a", "deep", 1)
        peer = Peer(entry, None, Journal("n-0", "error"))
        stream = peer._stream = SilentStream()
        peer.send_ping()
        await asyncio.sleep(0.01)
        stream.last_received_at = silent_since = loop.time()
        await asyncio.sleep(0.01)
        peer._pending_replies[7] = loop.create_future()
        peer._replies_pending_since = loop.time()
        suspect_after = 0.0
        while not stream.closed:
            await asyncio.sleep(CHECK_SECONDS)
            assert loop.time() - silent_since < 1.6
            peer.check_liveness(loop.time())
            if peer.is_suspect and not suspect_after:
                suspect_after = loop.time() - silent_since
        assert 0 < suspect_after < 0.8

    run_in_virtual_time(run())
