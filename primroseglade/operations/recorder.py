"""Selects the node that records an operation and asks it for decisions."""

from ..fleet.control import ControlClient, ControlServer, PeerError
from ..fleet.hashing import rank
from ..fleet.members import Members
from ..proto import control_pb2 as pb
from ..verdicts import may_have_run, not_run, Reason, Refusal, Verdict
from .record import OperationTable, RunDecision

REQUEST_TIMEOUT_SECONDS = 0.5


class Recorder:
    """Grants or refuses attempts at operations that must run at most once.

    Rendezvous hashing of the operation id selects the recording node among the
    reachable nodes of this node's zone. A retry that arrives in another zone reaches a
    recording node that does not know the operation; that node refuses every attempt
    but the first. Zones therefore do not have to communicate.

    Args:
        members: Members of the fleet, with their zones and addresses.
        client: Calls the other nodes.
        operations: Operations that this instance records.
    """

    def __init__(
        self, members: Members, client: ControlClient, operations: OperationTable
    ):
        self._members = members
        self._client = client
        self._operations = operations

    def register(self, server: ControlServer) -> None:
        """Register the handlers for operations that are recorded on this node."""
        server.register("Begin", self._handle_begin)
        server.register("Finish", self._handle_finish)

    async def begin(self, workspace: str, operation: str, attempt: int) -> str:
        """Request permission to run an attempt.

        Returns:
            The recording instance, to be passed to ``finish`` when the attempt ends.

        Raises:
            Refusal: The attempt may not run; the verdict says whether an earlier
                attempt ran or may have run.
        """
        instance = self._find_recording_instance(workspace, operation)
        if instance == self._members.own.instance:
            decision = self._operations.begin(workspace, operation, attempt)
        else:
            decision = await self._request_decision(
                instance, workspace, operation, attempt
            )
        if decision is not RunDecision.RUN:
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
        """Report the verdict on an attempt to the recording instance."""
        if instance == self._members.own.instance:
            self._operations.finish(workspace, operation, attempt, verdict)
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
            # The recording node keeps the attempt as running and refuses later ones.
            return

    async def _request_decision(
        self, instance: str, workspace: str, operation: str, attempt: int
    ) -> RunDecision:
        member = self._members.get(instance)
        request = pb.BeginRequest(
            workspace=workspace, operation=operation, attempt=attempt
        )
        try:
            if member is None:
                raise PeerError("the recording node is no longer a member")
            reply = await self._client.call(
                member.control, "Begin", request, REQUEST_TIMEOUT_SECONDS, instance
            )
        except PeerError as error:
            # This attempt does not run. If only the response was lost, the recording
            # node counts the attempt as running and refuses later ones: still safe.
            if attempt > 1:
                raise _build_refusal(RunDecision.UNKNOWN) from error
            detail = "the node that records the operation did not respond"
            raise not_run(Reason.RECORDER_UNREACHABLE, detail, 1.0) from error
        return RunDecision(reply.decision)

    def _find_recording_instance(self, workspace: str, operation: str) -> str:
        own = self._members.own
        names = [member.instance for member in self._members.get_reachable(own.zone)]
        return rank(f"operations/{workspace}/{operation}", names, 1)[0]

    async def _handle_begin(self, request: pb.BeginRequest, _: str) -> pb.BeginReply:
        decision = self._operations.begin(
            request.workspace, request.operation, request.attempt
        )
        return pb.BeginReply(decision=int(decision))

    async def _handle_finish(self, request: pb.FinishRequest, _: str) -> pb.FinishReply:
        verdict = Verdict(request.verdict)
        self._operations.finish(
            request.workspace, request.operation, request.attempt, verdict
        )
        return pb.FinishReply()


def _build_refusal(decision: RunDecision) -> Refusal:
    if decision is RunDecision.RAN:
        detail = "an earlier attempt at the operation ran"
        return Refusal(Reason.OPERATION_REPEATED, Verdict.RAN, detail)
    detail = {
        RunDecision.RUNNING: "an earlier attempt at the operation is running",
        RunDecision.MAY_HAVE_RUN: "an earlier attempt at the operation may have run",
    }.get(decision, "earlier attempts at the operation are not recorded in this zone")
    return may_have_run(Reason.OPERATION_REPEATED, detail)
