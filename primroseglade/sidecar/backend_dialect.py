"""What the platform's adapter builds for backend servers, and reads from them."""

from typing import Protocol

from .client_connection import Response
from .ended_servers import EndedServer
from .frames import Call
from .running_calls import RunningCall
from .statements import NO_STATEMENTS, Statements


class ParsedAnswerHead:
    """The head of a backend server's answer, as parsed by the platform's adapter.

    Args:
        head: Status line and headers to forward.
        request_id: ID of the request that the answer names; empty if none.
        signed: Whether the answer carries the backend server's signature.
        not_executed: Whether the answer states that the request was not executed.
        statements: What the answer states about the backend server.
    """

    __slots__ = ("head", "not_executed", "request_id", "signed", "statements")

    def __init__(
        self,
        head: bytes,
        request_id: bytes,
        signed: bool,
        not_executed: bool,
        statements: Statements = NO_STATEMENTS,
    ):
        self.head = head
        self.request_id = request_id
        self.signed = signed
        self.not_executed = not_executed
        self.statements = statements


class BackendDialect(Protocol):
    """Builds requests to backend servers and parses their answers, for one platform."""

    def finish_request(self, call: Call, remaining: float) -> bytes:
        """Return the bytes of a request for the backend server.

        Args:
            call: The call to send.
            remaining: Seconds until the call's deadline.
        """

    def get_identity(self, call: Call) -> bytes:
        """Return the parts of a call's head that all attempts of a request share."""

    def read_answer(self, answer: Response) -> ParsedAnswerHead:
        """Parse a backend server's answer.

        Raises:
            MalformedResponseError: The head contradicts itself.
        """


class ServedAnswer:
    """The backend server's answer to a call: status, parsed head and body.

    Attributes:
        start_time_ms: Unix time of the start of the backend server that answered, in
            milliseconds.
        run: The call while it ran.
        ended_servers: Other backend servers that ended under calls made for it.
    """

    __slots__ = ("answer", "body", "ended_servers", "run", "start_time_ms", "status")

    def __init__(
        self,
        status: int,
        answer: ParsedAnswerHead,
        body: bytes,
        start_time_ms: int,
        run: RunningCall,
    ):
        self.status = status
        self.answer = answer
        self.body = body
        self.start_time_ms = start_time_ms
        self.run = run
        self.ended_servers: tuple[EndedServer, ...] = ()
