"""HTTP API for operators: metrics, node status, document, traces and events."""

from __future__ import annotations

import hmac
import html
import json
from typing import Any, TYPE_CHECKING

from blacksheep import Application, Content, Request, Response

from .announcing import answer_json
from .calls.headers import AUTHORIZATION
from .listener import as_handler, build_application

if TYPE_CHECKING:
    from .node import Node

METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
MAX_SHOWN_DECISIONS = 100
CONFIRMATION_TIMEOUT_SECONDS = 3.0

PAGE_TEMPLATE = """<!doctype html>
<meta charset="utf-8">
<title>{title}</title>
<style>
body {{ font: 15px/1.4 system-ui, sans-serif; margin: 2em; max-width: 70em }}
table {{ border-collapse: collapse; margin: 0 0 2em }}
td, th {{ border: 1px solid #ccc; padding: .2em .6em; text-align: left }}
h2 {{ margin: 1.5em 0 .4em }}
</style>
<h1>{title}</h1>
{body}
"""


class OperatorPages:
    """Serves the operator API, to holders of the operator token if one is set.

    Args:
        node: The node whose state is served.
    """

    def __init__(self, node: Node):
        self._node = node

    def build_application(self) -> Application:
        """Build the application with all routes."""
        app = build_application()
        routes = {
            "/": self._show_page,
            "/metrics": self._show_metrics,
            "/status": self._show_status,
            "/confirmations": self._show_confirmations,
            "/document": self._show_document,
            "/outcomes/{record}": self._show_outcome,
            "/traces/{trace}": self._show_trace,
            "/decisions": self._show_decisions,
            "/events": self._show_events,
        }
        for path, handler in routes.items():
            app.router.add_get(path, as_handler(self._require_token(handler)))
        return app

    def _require_token(self, handler: Any) -> Any:
        token = self._node.settings.operator_token

        async def check_token_and_handle(request: Request) -> Response:
            presented = request.get_first_header(AUTHORIZATION) or b""
            expected = f"Bearer {token}".encode()
            if token and not hmac.compare_digest(presented, expected):
                return answer_json(
                    401, {"error": "the operator token is missing or wrong"}
                )
            return await handler(request)

        return check_token_and_handle

    async def _show_metrics(self, _: Request) -> Response:
        age = self._node.configuration.age
        self._node.metrics.configuration_age.set(min(age, 1e9))
        content = Content(METRICS_CONTENT_TYPE, self._node.metrics.render())
        return Response(200, content=content)

    async def _show_status(self, _: Request) -> Response:
        return answer_json(200, self._node.describe())

    async def _show_confirmations(self, _: Request) -> Response:
        status = await self._node.confirmer.collect(CONFIRMATION_TIMEOUT_SECONDS)
        next_offset = self._node.configuration.next_offset
        answer = {
            "next_offset": next_offset,
            "everywhere": status.is_confirmed_by_all(next_offset),
            "confirmed": sorted(
                name for name, offset in status.offsets.items() if offset >= next_offset
            ),
            "behind": status.find_behind(next_offset),
            "silent": status.silent,
            "offsets": dict(sorted(status.offsets.items())),
        }
        return answer_json(200, answer)

    async def _show_document(self, _: Request) -> Response:
        sections = {
            name: {
                "version": section.version,
                "author": section.author,
                "record": section.record_id,
                "value": section.value,
            }
            for name, section in self._node.configuration.document.sections.items()
        }
        next_offset = self._node.configuration.next_offset
        return answer_json(200, {"next_offset": next_offset, "sections": sections})

    async def _show_outcome(self, request: Request) -> Response:
        record_id = request.route_values["record"]
        outcome = self._node.configuration.fold.find_outcome(record_id)
        if outcome is None:
            return answer_json(
                404, {"error": "no outcome of this record is known here"}
            )
        return answer_json(
            200,
            {
                "record": outcome.record_id,
                "offset": outcome.offset,
                "accepted": outcome.accepted,
                "reason": outcome.reason,
                "sections": list(outcome.sections),
            },
        )

    async def _show_trace(self, request: Request) -> Response:
        trace = request.route_values["trace"].lower()
        try:
            spans = self._node.tracer.find(trace)
        except ValueError:
            return answer_json(400, {"error": "a trace id is 32 hex digits"})
        decisions = self._node.decision_records.find(trace)
        return answer_json(200, {"spans": spans, "decisions": decisions})

    async def _show_decisions(self, _: Request) -> Response:
        return answer_json(
            200, self._node.decision_records.get_last(MAX_SHOWN_DECISIONS)
        )

    async def _show_events(self, _: Request) -> Response:
        return answer_json(200, self._node.journal.recent)

    async def _show_page(self, _: Request) -> Response:
        view = self._node.describe()
        members = view.pop("members")
        parts = [_render_fields(name, value) for name, value in view.items()]
        parts.append(_render_table("members", members))
        parts.append(_render_table("events", self._node.journal.recent[-20:]))
        page = PAGE_TEMPLATE.format(
            title=html.escape(self._node.settings.instance), body="\n".join(parts)
        )
        content = Content(b"text/html; charset=utf-8", page.encode())
        return Response(200, content=content)


def build_operator_application(node: Node) -> Application:
    """Build the application of a node's operator listener."""
    return OperatorPages(node).build_application()


def _render_fields(name: str, value: Any) -> str:
    if not isinstance(value, dict):
        return f"<p><b>{html.escape(name)}</b> {html.escape(str(value))}</p>"
    rows = "".join(
        f"<tr><th>{html.escape(str(key))}<td>{html.escape(_to_text(item))}"
        for key, item in value.items()
    )
    return f"<h2>{html.escape(name)}</h2><table>{rows}</table>"


def _render_table(name: str, rows: list[dict[str, Any]]) -> str:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    head = "".join(f"<th>{html.escape(column)}" for column in columns)
    body = "".join(
        "<tr>"
        + "".join(
            f"<td>{html.escape(_to_text(row.get(column, '')))}" for column in columns
        )
        for row in rows
    )
    return f"<h2>{html.escape(name)}</h2><table><tr>{head}{body}</table>"


def _to_text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
