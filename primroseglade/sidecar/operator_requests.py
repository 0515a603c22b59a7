"""Requests of operators at a node's metrics address."""

import json
from typing import TYPE_CHECKING

from .http_messages import render_status_line, Reply, Request
from .suspect_tracker import format_request

if TYPE_CHECKING:
    from .node import SidecarNode

SUSPECTS_PATH = b"/suspects"
RELEASE_SUFFIX = b"/release"
METRICS_HEAD = render_status_line(200) + b"Content-Type: text/plain; version=0.0.4\r\n"


def build_operator_handler(node: "SidecarNode"):
    """Return the handler of a node's metrics address.

    ``GET /suspects`` lists the requests under which backend servers ended, and ``POST
    /suspects/HASH/release`` lets one of them run again, at all nodes. Any other path
    has the metrics.
    """

    async def handle(request: Request) -> Reply:
        if request.target == SUSPECTS_PATH:
            return _answer(200, _list_suspects(node))
        if request.target.startswith(SUSPECTS_PATH):
            return _release(node, request)
        return Reply(METRICS_HEAD, node.node_metrics.render(node))

    return handle


def _list_suspects(node: "SidecarNode") -> list[dict[str, object]]:
    requests = node.suspects.tracker.requests
    return [
        {
            "request": format_request(request),
            "standing": requests.get_standing(request).value,
            "ended_servers": requests.count_ends(request),
            "nodes": requests.list_nodes(request),
            "blocked_seconds": round(requests.get_block_seconds(request), 1),
        }
        for request in requests.list_suspects()
    ]


def _release(node: "SidecarNode", request: Request) -> Reply:
    name = request.target[len(SUSPECTS_PATH) + 1 :].removesuffix(RELEASE_SUFFIX)
    if request.method != b"POST" or not request.target.endswith(RELEASE_SUFFIX):
        return _answer(405, {"error": "expected POST /suspects/HASH/release"})
    try:
        released = node.suspects.tracker.release(int(name, 16))
    except ValueError:
        released = False
    if not released:
        text = name.decode("latin-1")[:40]
        return _answer(404, {"error": f"no suspect request has the hash {text!r}"})
    return _answer(200, {"released": name.decode()})


def _answer(status: int, value: object) -> Reply:
    head = render_status_line(status) + b"Content-Type: application/json\r\n"
    return Reply(head, json.dumps(value).encode() + b"\n")
