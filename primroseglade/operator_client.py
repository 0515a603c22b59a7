"""HTTP client for a node's operator address."""

from typing import Any

import aiohttp

from .addresses import parse_address
from .errors import InputError, RefusedError, UnreachableError

REQUEST_TIMEOUT_SECONDS = 10.0


class OperatorClient:
    """Reads status and configuration from a node's operator listener.

    Args:
        address: ``IP:PORT`` of the operator listener.
        token: Operator token; empty if the node requires none.

    Raises:
        InputError: The address is invalid.
    """

    def __init__(self, address: str, token: str = ""):
        try:
            parse_address(address)
        except ValueError as error:
            raise InputError("--node", "", str(error), "IP:PORT") from error
        self._address = address
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(headers=headers, timeout=timeout)

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def get(self, path: str) -> Any:
        """Return the decoded JSON at a path.

        Raises:
            UnreachableError: The node did not respond with JSON.
            RefusedError: The node responded with an error, such as a wrong token.
        """
        return await self._send("GET", path)

    async def post(self, path: str) -> Any:
        """Send a POST without a body, and return the decoded JSON of the answer.

        Raises:
            UnreachableError: The node did not respond with JSON.
            RefusedError: The node responded with an error.
        """
        return await self._send("POST", path)

    async def _send(self, method: str, path: str) -> Any:
        url = f"http://{self._address}{path}"
        try:
            async with self._session.request(method, url) as response:
                value = await response.json(content_type=None)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            reason = str(error) or "no response in time"
            raise UnreachableError(f"node {self._address}: {reason}") from error
        if status != 200:
            raise RefusedError(f"node {self._address}: {value.get('error', status)}")
        return value
