"""A truncated second answer is taken for the head of the next request's answer."""

import asyncio
import pathlib
import time

from ..lib.backend import Backend, build_answer, ServerRequest
from ..lib.case import main
from ..lib.client import call, Reply
from ..lib.deployment import (
    build_configuration,
    build_route,
    CannotRunError,
    Deployment,
    Record,
)

WORK_SECONDS = 0.005
# The fault: half of the service's servers spoil 0.03 of their answers for 5.5 s, which
# is inside what the site files play.
SPOILED_EVERY = 34
TROUBLE_SECONDS = 5.5
CLIENTS = 6
PAUSE_SECONDS = 0.002
# Until backend servers have reported and nodes know each other.
SETTLE_SECONDS = 4.0
MIN_PAYMENTS = 100
# Every second payment fails at the server.
FAILS_EVERY = 2
SEAL = "X-Primroseglade-Upstream-Seal"
FAULTY = "i-1"


class Ledger:
    """The work of the backend servers of one service, one of them faulty.

    Args:
        disturb: Whether the faulty one spoils answers.
    """

    def __init__(self, disturb: bool):
        self.statuses: dict[str, int] = {}
        self.seals: dict[str, str] = {}
        self.bodies: dict[str, bytes] = {}
        self._disturb = disturb
        self._answers = 0

    async def answer(self, backend: Backend, request: ServerRequest) -> bytes:
        """Work on a payment, and answer with 200, or with 500 if it fails."""
        backend.record_run(request)
        await asyncio.sleep(WORK_SECONDS)
        fails = request.target.endswith("fails")
        status = "500 Internal Server Error" if fails else "200 OK"
        body = f"{'failed' if fails else 'paid'} {request.id}".encode()
        self.statuses[request.id] = int(status[:3])
        self.seals[request.id] = f"{backend.instance}.{request.id}"
        self.bodies[request.id] = body
        headers = {
            SEAL: self.seals[request.id],
            "X-Primroseglade-Upstream-Load": "1,0,8",
        }
        data = build_answer(status, request.id, headers, body)
        if self._disturb and backend.instance == FAULTY:
            self._answers += 1
            if self._answers % SPOILED_EVERY == 0:
                # A second answer follows, which breaks off in the load header.
                backend.write(f"spoils the answer to {request.id}")
                data += data[: data.index(b"1,0,8") + 1]
        return data


def find_breaches(reply: Reply, ledger: Ledger) -> list[str]:
    """Return how an answer to a client breaks the rule."""
    answered = ledger.statuses.get(reply.request_id)
    breaches = []
    if 200 <= reply.status < 300:
        if answered is None or answered >= 300:
            breaches.append(
                f"{reply.request_id}: success, but the server answered {answered}"
            )
        if reply.body != ledger.bodies.get(reply.request_id):
            breaches.append(f"{reply.request_id}: not the server's body")
    own_seal = ledger.seals.get(reply.request_id)
    for seal in reply.list_values(SEAL):
        if seal != own_seal:
            breaches.append(f"{reply.request_id}: bears the seal {seal} of another")
    return breaches


async def play(record: Record, disturb: bool) -> list[str]:
    """Pay through a node, from a few clients at once."""
    deployment = Deployment(["front", "ledger", "ledger", "front"])
    ledger = Ledger(disturb)
    backends = [
        Backend(f"i-{number}", node, record, ledger.answer)
        for number, node in enumerate(deployment.nodes)
    ]
    breaches: list[str] = []
    statuses: list[int] = []

    async def pay_repeatedly(client: int) -> None:
        ends_at = time.monotonic() + TROUBLE_SECONDS
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            end = "fails" if number % FAILS_EVERY == 0 else "pays"
            reply = await call(
                deployment.nodes[0],
                "POST",
                f"/pay/{client}-{number}-{end}",
                record,
                "pay",
                body=b"amount=5",
            )
            statuses.append(reply.status)
            breaches.extend(find_breaches(reply, ledger))
            await asyncio.sleep(PAUSE_SECONDS)

    try:
        route = build_route("pay", "ledger", kind="unsafe")
        await deployment.start(build_configuration(1, route))
        for backend in backends:
            await backend.start()
        await asyncio.sleep(SETTLE_SECONDS)
        await asyncio.gather(*(pay_repeatedly(client) for client in range(CLIENTS)))
    finally:
        for backend in backends:
            await backend.close()
        await deployment.close()
    answered = sum(status in (200, 500) for status in statuses)
    record.write(f"{answered} of {len(statuses)} payments were answered")
    if answered < 0.9 * len(statuses) or answered < MIN_PAYMENTS:
        raise CannotRunError(f"{answered} of {len(statuses)} payments were answered")
    return breaches


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).parent)
