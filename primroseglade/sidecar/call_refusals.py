"""Translation between refusals and the messages that carry them to other nodes."""

from ..verdicts import (
    may_have_run,
    not_run,
    Reason,
    Refusal,
    SUSPECT_REASONS,
    Verdict,
)
from .backend import BackendRefusal
from .frames import Call, CallAnswer, CallRefused, Frame


def build_message(call: Call, refusal: Refusal, in_flight: int) -> CallRefused:
    """Return the message that tells the sender of a call that it was refused.

    Args:
        call: The call.
        refusal: Why it was refused.
        in_flight: Calls running and queued at the local backend server.
    """
    return CallRefused(
        call.id,
        refusal.reason.code,
        refusal.verdict is not Verdict.NOT_RUN,
        isinstance(refusal, BackendRefusal),
        refusal.detail,
        in_flight,
        refusal.ended_servers,
        refusal.ended_server,
    )


def is_due_to_request(reply: Frame) -> bool:
    """Return whether a call failed because of its request, not of the node's server."""
    if isinstance(reply, CallAnswer):
        return bool(reply.ended_servers)
    return isinstance(reply, CallRefused) and (
        Reason.from_code(reply.reason) in SUSPECT_REASONS
    )


def read_message(message: CallRefused) -> Refusal:
    """Return the refusal that a message reports."""
    reason = Reason.from_code(message.reason) or Reason.OVERLOADED
    if message.may_have_run:
        refusal = may_have_run(reason, message.detail)
    elif message.refused_by_backend:
        refusal = BackendRefusal(reason, detail=message.detail)
    else:
        refusal = not_run(reason, message.detail)
    refusal.ended_servers = message.ended_servers
    refusal.ended_server = message.ended_server
    return refusal
