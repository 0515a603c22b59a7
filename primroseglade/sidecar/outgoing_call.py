"""A call that this node sends, its attempts and its outcome."""

from ..verdicts import Refusal, Verdict
from .backend import BackendRefusal
from .ended_servers import EndedServer
from .frames import Call
from .model import Route
from .request_context import RequestContext
from .running_calls import RunningCall


class OutgoingCall:
    """A call that this node sends, with its state.

    Attributes:
        nested: Whether the local backend server makes the call.
        deadline: Time on the loop's clock at which the call is canceled.
        latency_target_at: Time on the loop's clock after which the answer is late.
        tenant: Workspace of the call; empty if the local backend server makes it.
        context: The request of a caller that the call belongs to; None if unknown.
        parent: The running call for which the local backend server makes this one; None
            if there is none or it is unknown.
        remaining_calls: Expected number of further calls on the same route in the same
            run of the local backend server.
        suspect: Hash of the call's request if that is suspect; else 0.
        sent: Whether the call was sent to a node, this one included.
        node: Name of the node that it was sent to last; empty before.
    """

    __slots__ = (
        "body",
        "context",
        "deadline",
        "head",
        "latency_target_at",
        "nested",
        "node",
        "parent",
        "remaining_calls",
        "request_id",
        "route",
        "sent",
        "service",
        "suspect",
        "tenant",
    )

    def __init__(
        self,
        route: Route,
        service: str,
        request_id: bytes,
        head: bytes,
        body: bytes,
        nested: bool,
        deadline: float,
        latency_target_at: float,
        tenant: str = "",
    ):
        self.route = route
        self.service = service
        self.request_id = request_id
        self.head = head
        self.body = body
        self.nested = nested
        self.deadline = deadline
        self.latency_target_at = latency_target_at
        self.tenant = tenant
        self.context: RequestContext | None = None
        self.parent: RunningCall | None = None
        self.remaining_calls = 0
        self.suspect = 0
        self.sent = False
        self.node = ""

    def build_message(
        self, instance: str, ended_servers: tuple[EndedServer, ...], now: float
    ) -> Call:
        """Return the message that sends the call to a node.

        Args:
            instance: Instance ID of the backend server that is to run it.
            ended_servers: Backend servers that ended under its request, if suspect.
            now: Seconds on the loop's clock.
        """
        return Call(
            0,
            instance,
            self.route.name,
            self.request_id,
            # Whole milliseconds are encoded in three bytes, fractions in nine.
            int((self.deadline - now) * 1000),
            int((self.latency_target_at - now) * 1000),
            self.route.idempotent,
            self.nested,
            self.head,
            self.body,
            context=self.context and self.context.to_fields(now),
            remaining_calls=self.remaining_calls,
            ended_servers=ended_servers,
        )


class Outcome:
    """An answer, and the node that sent it.

    Attributes:
        signed: Whether the answer carries the backend server's signature.
        ended_servers: Other backend servers that ended under calls made for the call.
    """

    __slots__ = ("body", "ended_servers", "head", "node", "signed", "status")

    def __init__(
        self,
        status: int,
        head: bytes,
        body: bytes,
        signed: bool,
        node: str,
        ended_servers: tuple[EndedServer, ...] = (),
    ):
        self.status = status
        self.head = head
        self.body = body
        self.signed = signed
        self.node = node
        self.ended_servers = ended_servers


class Attempts:
    """The failed attempts of a call.

    Attributes:
        tried: Names of the nodes that the call was sent to.
        backends_reached: Number of attempts that reached a backend server.
        last_reached_backend: Whether the last attempt reached a backend server.
        reason: Why the last attempt failed.
        verdict: Whether the call may have run, over all attempts.
    """

    __slots__ = (
        "_failure",
        "_refusal",
        "backends_reached",
        "last_reached_backend",
        "reason",
        "tried",
        "verdict",
    )

    def __init__(self) -> None:
        self._failure: Outcome | None = None
        self._refusal: Refusal | None = None
        self.tried: set[str] = set()
        self.backends_reached = 0
        self.last_reached_backend = False
        self.reason = ""
        self.verdict = Verdict.NOT_RUN

    def record_failure(self, outcome: Outcome) -> None:
        """Record an answer of a backend server that reports a failure."""
        self._failure = outcome
        self.verdict = Verdict.RAN
        self.reason = f"status {outcome.status}"
        self.backends_reached += 1
        self.last_reached_backend = True

    def record_refusal(self, refusal: Refusal) -> None:
        """Record an attempt that a node or its backend server refused."""
        self._refusal = refusal
        self.reason = refusal.reason.code
        may_have_run = refusal.verdict is not Verdict.NOT_RUN
        if may_have_run and self.verdict is Verdict.NOT_RUN:
            self.verdict = refusal.verdict
        self.last_reached_backend = may_have_run or isinstance(refusal, BackendRefusal)
        self.backends_reached += self.last_reached_backend

    def get_final_outcome(self, default: Refusal | None = None) -> Outcome:
        """Return the last failure that a backend server answered with.

        Args:
            default: Raised if no attempt was made.

        Raises:
            Refusal: No backend server answered. The last refusal is raised, with a
                verdict over all attempts: the call may have run in an earlier attempt
                even if it did not run in the last.
        """
        if self._failure is not None:
            return self._failure
        refusal = self._refusal or default
        assert refusal is not None
        refusal.verdict = self.verdict
        raise refusal
