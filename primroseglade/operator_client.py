"""Asks a node's operator address."""

from typing import Any

import aiohttp

from .addresses import parse_address
from .errors import InputError, RefusedError, UnreachableError

REQUEST_TIMEOUT_SECONDS = 10.0


class OperatorClient:
    """Reads a node's view.

    Args:
        address: ``IP:PORT`` of the operator listener.
        token: Operator token, empty for none.
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
        """Return a page's JSON.

        Raises:
            UnreachableError: No answer.
            RefusedError: The node asks for another token, or knows nothing there.
        """
        try:
            async with self._session.get(f"http://{self._address}{path}") as response:
                value = await response.json(content_type=None)
                status = response.status
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            reason = str(error) or "no answer in time"
            raise UnreachableError(f"node {self._address}: {reason}") from error
        if status != 200:
            raise RefusedError(f"node {self._address}: {value.get('error', status)}")
        return value
