"""In-memory stand-in for the platform's log service, with injected faults."""

import asyncio
import json
from typing import Any

from blacksheep import Application, Content, Request, Response

from ..listener import as_handler, build_application, Listener
from ..platform.log import CONTENT_TYPE, OFFSET_OUT_OF_RANGE

MAX_WAIT_SECONDS = 30.0


class LogFaults:
    """Faults that the log injects at present.

    Args:
        outage: Whether every request is answered with status 503.
        delay: Seconds added to every request.
        lose_answers: Number of appends still to be applied but answered 504.
    """

    __slots__ = ("delay", "lose_answers", "outage")

    def __init__(self, outage: bool = False, delay: float = 0.0, lose_answers: int = 0):
        self.outage = outage
        self.delay = delay
        self.lose_answers = lose_answers


class Topic:
    """Records of one topic.

    Attributes:
        first_offset: Offset of the oldest record; older ones have expired.
        records: Values of the records, the oldest first.
        changed: Notified at each append.
    """

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[Any] = []
        self.changed = asyncio.Condition()

    @property
    def end_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self.records)

    def truncate(self, max_records: int) -> None:
        """Delete the oldest records beyond ``max_records``."""
        surplus = max(0, len(self.records) - max_records)
        del self.records[:surplus]
        self.first_offset += surplus


class LogStandIn:
    """Serves the topics of the log over HTTP.

    Args:
        address: ``IP:PORT`` to listen on.
        max_topic_records: Maximum number of records per topic.
    """

    def __init__(self, address: str = "127.0.0.1:0", max_topic_records: int = 100_000):
        self.faults = LogFaults()
        self.appends = 0
        self.reads = 0
        self._max_topic_records = max_topic_records
        self._topics: dict[str, Topic] = {}
        self._listener = Listener(self._build_application(), address)

    @property
    def address(self) -> str:
        """Listening address, ``IP:PORT``."""
        return self._listener.address

    def get_topic(self, name: str) -> Topic:
        """Return a topic, which is created at its first use."""
        return self._topics.setdefault(name, Topic())

    async def append(self, name: str, value: Any) -> int:
        """Append a record directly, without HTTP, and return its offset."""
        topic = self.get_topic(name)
        async with topic.changed:
            offset = topic.end_offset
            topic.records.append(value)
            topic.truncate(self._max_topic_records)
            topic.changed.notify_all()
        self.appends += 1
        return offset

    async def run(self) -> None:
        """Serve until stopped."""
        await self._listener.run()

    async def wait_started(self) -> None:
        """Wait until the listener accepts connections."""
        await self._listener.wait_started()

    def stop(self) -> None:
        """Stop serving at once and close all connections."""
        self._listener.abort()

    def _build_application(self) -> Application:
        app = build_application()
        records = "/topics/{name}/partitions/0/records"
        offsets = "/topics/{name}/partitions/0/offsets"
        app.router.add_post("/topics/{name}", as_handler(self._handle_append))
        app.router.add_get(records, as_handler(self._handle_read))
        app.router.add_get(offsets, as_handler(self._handle_offsets))
        app.router.add_put("/faults", as_handler(self._handle_faults))
        return app

    async def _handle_faults(self, request: Request) -> Response:
        fields = json.loads(await request.read() or b"{}")
        self.faults = LogFaults(**fields)
        return _build_response(200, {})

    async def _inject_faults(self) -> Response | None:
        await asyncio.sleep(self.faults.delay)
        if self.faults.outage:
            return _build_response(503, {"error_code": 503, "message": "unavailable"})
        return None

    async def _handle_append(self, request: Request) -> Response:
        name = request.route_values["name"]
        fault = await self._inject_faults()
        if fault:
            return fault
        body = json.loads(await request.read())
        offsets = []
        for record in body["records"]:
            offset = await self.append(name, record["value"])
            offsets.append({"partition": 0, "offset": offset})
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return _build_response(504, {"error_code": 504, "message": "answer lost"})
        return _build_response(200, {"offsets": offsets})

    async def _handle_read(self, request: Request) -> Response:
        self.reads += 1
        fault = await self._inject_faults()
        if fault:
            return fault
        topic = self.get_topic(request.route_values["name"])
        query = {name: values[0] for name, values in request.query.items()}
        offset = int(query["offset"])
        wait = min(int(query.get("timeout", 0)) / 1000, MAX_WAIT_SECONDS)
        if not topic.first_offset <= offset <= topic.end_offset:
            problem = {"error_code": OFFSET_OUT_OF_RANGE, "message": "out of range"}
            return _build_response(404, problem)
        await self._wait_for_records(topic, offset, wait)
        fault = await self._inject_faults()
        if fault:
            return fault
        start = max(0, offset - topic.first_offset)
        name = request.route_values["name"]
        items = [
            {
                "topic": name,
                "key": None,
                "value": value,
                "partition": 0,
                "offset": topic.first_offset + start + number,
            }
            for number, value in enumerate(topic.records[start : start + 500])
        ]
        return _build_response(200, items)

    async def _wait_for_records(self, topic: Topic, offset: int, wait: float) -> None:
        async def wait_changed() -> None:
            async with topic.changed:
                await topic.changed.wait_for(lambda: topic.end_offset > offset)

        try:
            await asyncio.wait_for(wait_changed(), wait)
        except TimeoutError:
            return

    async def _handle_offsets(self, request: Request) -> Response:
        fault = await self._inject_faults()
        if fault:
            return fault
        topic = self.get_topic(request.route_values["name"])
        return _build_response(
            200,
            {"beginning_offset": topic.first_offset, "end_offset": topic.end_offset},
        )


def _build_response(status: int, value: Any) -> Response:
    body = Content(CONTENT_TYPE.encode(), json.dumps(value).encode())
    return Response(status, content=body)
