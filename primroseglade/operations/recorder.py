"""Finds the node that records an operation, and asks it."""

from ..fleet.control import ControlClient, ControlServer, PeerError
from ..fleet.hashing import rank
from ..fleet.members import Members
from ..proto import control_pb2 as pb
from ..verdicts import may_have_run, not_run, Reason, Refusal, Verdict
from .record import Decision, Record

REQUEST_TIMEOUT_SECONDS = 0.5


class Recorder:
    """Decides on attempts at operations that must not run twice.

    The recording node of an operation is one of this node's zone, by its id. An
    attempt in another zone asks another node, which knows nothing of the first, and
    is refused unless it is itself the first: no two zones have to talk.

    Args:
        members: The zone's nodes.
        client: Asks them.
        record: What this instance records itself.
    """

    def __init__(self, members: Members, client: ControlClient, record: Record):
        self._members = members
        self._client = client
        self._record = record

    def register(self, server: ControlServer) -> None:
        """Answer nodes whose operations are recorded here."""
        server.register("Begin", self._handle_begin)
        server.register("Finish", self._handle_finish)

    async def begin(self, workspace: str, operation: str, attempt: int) -> str:
        """Ask whether an attempt may run.

        Returns:
            The recording instance, which is to be told of the end.

        Raises:
            Refusal: It may not; the verdict says what is known of the operation.
        """
        instance = self._find_recording_instance(workspace, operation)
        if instance == self._members.own.instance:
            decision = self._record.begin(workspace, operation, attempt)
        else:
            decision = await self._request_decision(
                instance, workspace, operation, attempt
            )
        if decision is not Decision.RUN:
            raise _build_refusal(decision)
        return instance

    async def finish(
        self,
        instance: str,
        workspace: str,
        operation: str,
        attempt: int,
        verdict: Verdict,
    ) -> None:
        """Tell the recording instance what became of an attempt."""
        if instance == self._members.own.instance:
            self._record.finish(workspace, operation, attempt, verdict)
            return
        member = self._members.get(instance)
        if member is None:
            return
        request = pb.FinishRequest(
            workspace=workspace,
            operation=operation,
            attempt=attempt,
            verdict=verdict.value,
        )
        try:
            await self._client.call(
                member.control, "Finish", request, REQUEST_TIMEOUT_SECONDS, instance
            )
        except PeerError:
            # It goes on remembering the attempt as running, and refuses later ones.
            return

    async def _request_decision(
        self, instance: str, workspace: str, operation: str, attempt: int
    ) -> Decision:
        member = self._members.get(instance)
        request = pb.BeginRequest(
            workspace=workspace, operation=operation, attempt=attempt
        )
        try:
            if member is None:
                raise PeerError("the recording node is gone")
            reply = await self._client.call(
                member.control, "Begin", request, REQUEST_TIMEOUT_SECONDS, instance
            )
        except PeerError as error:
            # This attempt does not run. Were the answer lost, the recorder takes it
            # for running and refuses all later ones, which is safe.
            if attempt > 1:
                raise _build_refusal(Decision.UNKNOWN) from error
            detail = "the node that records the operation does not answer"
            raise not_run(Reason.RECORDER_UNREACHABLE, detail, 1.0) from error
        return Decision(reply.decision)

    def _find_recording_instance(self, workspace: str, operation: str) -> str:
        own = self._members.own
        names = [member.instance for member in self._members.get_reachable(own.zone)]
        return rank(f"operations/{workspace}/{operation}", names, 1)[0]

    async def _handle_begin(self, request: pb.BeginRequest, _: str) -> pb.BeginReply:
        decision = self._record.begin(
            request.workspace, request.operation, request.attempt
        )
        return pb.BeginReply(decision=int(decision))

    async def _handle_finish(self, request: pb.FinishRequest, _: str) -> pb.FinishReply:
        verdict = Verdict(request.verdict)
        self._record.finish(
            request.workspace, request.operation, request.attempt, verdict
        )
        return pb.FinishReply()


def _build_refusal(decision: Decision) -> Refusal:
    if decision is Decision.RAN:
        detail = "an earlier attempt at the operation ran"
        return Refusal(Reason.OPERATION_REPEATED, Verdict.RAN, detail)
    detail = {
        Decision.RUNNING: "an earlier attempt at the operation is running",
        Decision.MAY_HAVE_RUN: "an earlier attempt at the operation may have run",
    }.get(decision, "nobody here remembers the earlier attempts at the operation")
    return may_have_run(Reason.OPERATION_REPEATED, detail)
