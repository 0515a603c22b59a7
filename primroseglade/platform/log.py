"""Client of the platform's append-only log.

It uses the JSON interface of the Kafka REST proxy to append to a topic, to read a
partition's records from an offset, and to get the first and last offsets.
"""

import json
from typing import Any

import aiohttp

from ..errors import PrimrosegladeError, UnreachableError
from ..network import Network

CONTENT_TYPE = "application/vnd.kafka.json.v2+json"
OFFSET_OUT_OF_RANGE = 1
PARTITION = 0
MAX_READ_BYTES = 1 << 20

CONFIGURATION_TOPIC = "primroseglade.configuration"
MEMBERSHIP_TOPIC = "primroseglade.membership"


class LogUnavailableError(UnreachableError):
    """The log did not respond in time, or responded with an error.

    An append that raises this may have taken effect.
    """


class OffsetOutOfRangeError(PrimrosegladeError):
    """The record at this offset is deleted, or not yet written."""


class LogRecord:
    """A record and its offset."""

    __slots__ = ("offset", "value")

    def __init__(self, offset: int, value: Any):
        self.offset = offset
        self.value = value


class LogClient:
    """Appends to and reads from topics of one partition each.

    Args:
        address: ``IP:PORT`` of the log service.
        timeout: Seconds to wait for a response, added to the wait of a long poll.
        network: Network to use; tests pass one whose links they can cut.
    """

    def __init__(
        self, address: str, timeout: float = 2.0, network: Network | None = None
    ):
        self._address = address
        self._network = network or Network()
        self._url = f"http://{address}/topics"
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def append(self, topic: str, value: Any) -> int:
        """Append one record.

        Returns:
            The record's offset.

        Raises:
            LogUnavailableError: The append was not confirmed; it may have succeeded.
        """
        body = json.dumps({"records": [{"value": value, "partition": PARTITION}]})
        payload = await self._request("POST", f"/{topic}", self._timeout, body)
        try:
            return int(payload["offsets"][0]["offset"])
        except (KeyError, IndexError, TypeError, ValueError) as error:
            raise LogUnavailableError("log response without an offset") from error

    async def read(self, topic: str, offset: int, wait: float) -> list[LogRecord]:
        """Read records from an offset on, waiting up to ``wait`` seconds for one.

        Raises:
            LogUnavailableError: The log gave no valid response in time.
            OffsetOutOfRangeError: The log has no record at the offset.
        """
        path = f"/{topic}/partitions/{PARTITION}/records"
        query = (
            f"?offset={offset}&timeout={int(wait * 1000)}&max_bytes={MAX_READ_BYTES}"
        )
        payload = await self._request("GET", path + query, wait + self._timeout)
        try:
            return [LogRecord(int(item["offset"]), item["value"]) for item in payload]
        except (KeyError, TypeError, ValueError) as error:
            raise LogUnavailableError("malformed log response") from error

    async def get_range(self, topic: str) -> tuple[int, int]:
        """Return the offsets of the oldest record and of the next append.

        Raises:
            LogUnavailableError: The log gave no valid response in time.
        """
        path = f"/{topic}/partitions/{PARTITION}/offsets"
        payload = await self._request("GET", path, self._timeout)
        try:
            return int(payload["beginning_offset"]), int(payload["end_offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise LogUnavailableError("malformed log response") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _request(
        self, method: str, path: str, timeout: float, body: str | None = None
    ) -> Any:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        headers = {"Accept": CONTENT_TYPE, "Content-Type": CONTENT_TYPE}
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            await self._network.wait_if_cut(self._address, timeout)
            async with self._session.request(
                method,
                self._url + path,
                data=body,
                headers=headers,
                timeout=client_timeout,
            ) as response:
                payload = await response.json(content_type=None)
                status = response.status
            await self._network.wait_if_cut(self._address, timeout)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise LogUnavailableError(f"log request failed: {reason}") from error
        if status == 200:
            return payload
        if isinstance(payload, dict):
            if payload.get("error_code") == OFFSET_OUT_OF_RANGE:
                raise OffsetOutOfRangeError("offset out of the log's range")
        raise LogUnavailableError(f"log responded with status {status}")
