"""HTTP handlers for the local backend server's status reports and readiness checks."""

import json
from urllib.parse import unquote

from ..errors import InputError
from ..observe.events import BACKEND_REPORT_REFUSED, Journal
from ..sidecar.http_messages import render_status_line, Reply, Request
from ..sidecar.http_server import Handler
from ..sidecar.model import BackendState, StatusReport
from ..sidecar.node import SidecarNode
from .values import Fields

INSTANCES_PATH = b"/instances/"
OK = render_status_line(200) + b"Content-Type: application/json\r\n"
UNAVAILABLE = render_status_line(503)


def decode_report(instance: str, body: bytes) -> StatusReport:
    """Decode a status report.

    Args:
        instance: Id of the backend server, from the request's path.
        body: JSON body of the request.

    Raises:
        InputError: The report is malformed.
    """
    source = "status report"
    try:
        value = json.loads(body)
    except ValueError as error:
        raise InputError(source, "", f"is not JSON: {error}") from error
    fields = Fields(value, source)
    try:
        state = BackendState(fields.get_string("state"))
    except ValueError as error:
        raise InputError(source, "state", str(error)) from error
    slots = fields.get_integer("capacity_slots")
    if slots < 1:
        raise InputError(source, "capacity_slots", "must be above 0")
    return StatusReport(
        instance,
        fields.get_string("service"),
        fields.get_string("address"),
        slots,
        state,
        fields.get_seconds("cold_remaining", 0.0),
        fields.get_integer("sequence"),
        fields.get_integer("born", 0),
    )


def decode_deregistration(body: bytes) -> int:
    """Return the start time in a deregistration, in Unix ms; 0 if it has none."""
    if not body:
        return 0
    try:
        return Fields(json.loads(body), "leave").get_integer("born", 0)
    except (ValueError, InputError):
        return 0


def build_readiness_handler(node: SidecarNode) -> Handler:
    """Return the handler of readiness checks."""

    async def handle(request: Request) -> Reply:
        return Reply(OK, b"{}") if node.ready else Reply(UNAVAILABLE, b"")

    return handle


def build_control_handler(node: SidecarNode, journal: Journal) -> Handler:
    """Return the handler of status reports and deregistrations."""

    async def handle(request: Request) -> Reply:
        path = request.target.partition(b"?")[0]
        if not path.startswith(INSTANCES_PATH):
            return Reply(render_status_line(404), b"")
        instance = unquote(path[len(INSTANCES_PATH) :].decode("latin-1"))
        if request.method == b"DELETE":
            acknowledged = await node.registration.handle_deregistration(
                instance, decode_deregistration(request.body)
            )
            return Reply(OK, b"{}") if acknowledged else Reply(UNAVAILABLE, b"")
        if request.method != b"PUT":
            return Reply(render_status_line(405), b"")
        try:
            report = decode_report(instance, request.body)
        except InputError as error:
            journal.emit(BACKEND_REPORT_REFUSED, backend=instance, reason=str(error))
            return Reply(render_status_line(400), b"")
        acknowledged = await node.registration.handle_report(report)
        return Reply(OK, b"{}") if acknowledged else Reply(UNAVAILABLE, b"")

    return handle
