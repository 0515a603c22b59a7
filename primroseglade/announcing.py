"""HTTP API by which a backend server announces itself to its local node."""

import json
from typing import Any

from blacksheep import Application, Content, Request, Response

from .calls.backend import Announcement, BackendServer
from .errors import InputError
from .listener import as_handler, build_application
from .settings.node import ADDRESS_SCHEMA, NAME_SCHEMA
from .settings.reader import build_validator, check

ANNOUNCEMENT_PATH_PREFIX = b"/-/"
ANNOUNCEMENT_PATH = "/-/backend-server"

_announcement_validator = build_validator(
    {
        "type": "object",
        "additionalProperties": False,
        "required": ["service", "address"],
        "properties": {
            "service": NAME_SCHEMA,
            "address": ADDRESS_SCHEMA,
            "slots": {"type": "integer", "minimum": 1},
            "connections": {"type": "integer", "minimum": 1},
            "draining": {"type": "boolean"},
        },
    }
)


def build_announcement_application(backend: BackendServer) -> Application:
    """Build the application that receives a backend server's announcements."""

    async def announce(request: Request) -> Response:
        try:
            fields = json.loads(await request.read() or b"null")
            check(fields, _announcement_validator, "announcement")
        except InputError as error:
            return answer_json(400, {"error": str(error)})
        except ValueError:
            return answer_json(400, {"error": "announcement: not JSON"})
        if not backend.announce(Announcement(**fields)):
            problem = "the document does not trust this backend server"
            return answer_json(403, {"error": problem})
        return answer_json(200, {"serving": backend.serving})

    async def remove_announcement(_: Request) -> Response:
        backend.deregister()
        return answer_json(200, {"serving": False})

    app = build_application()
    app.router.add_put(ANNOUNCEMENT_PATH, as_handler(announce))
    app.router.add_delete(ANNOUNCEMENT_PATH, as_handler(remove_announcement))
    return app


def answer_json(status: int, value: Any) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(value, indent=2).encode() + b"\n"
    return Response(status, content=Content(b"application/json", body))
