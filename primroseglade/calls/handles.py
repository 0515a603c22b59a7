"""Handles: what a backend server shows instead of a key when it calls onward."""

import secrets
from collections.abc import Callable

from ..limits.importance import Importance
from ..observe.traces import generate_span_id, TraceParent
from ..verdicts import not_run, Reason, Refusal
from .call import Context

HANDLE_BYTES = 16


class Handles:
    """The calls at work on the backend server beside this node, by handle."""

    def __init__(self) -> None:
        self._contexts: dict[bytes, Context] = {}

    def __len__(self) -> int:
        return len(self._contexts)

    def issue(self, context: Context) -> bytes:
        """Return a new handle for a call that goes to the backend server."""
        handle = secrets.token_urlsafe(HANDLE_BYTES).encode()
        self._contexts[handle] = context
        return handle

    def revoke(self, handle: bytes) -> None:
        """End a handle, with its call."""
        self._contexts.pop(handle, None)

    def find_context(self, handle: bytes) -> Context:
        """Return the call that a handle stands for.

        Raises:
            Refusal: ``not run``: there is no such call in flight here.
        """
        context = self._contexts.get(handle)
        if context is None:
            raise not_run(Reason.HANDLE_UNKNOWN, "no call in flight has this handle")
        return context


def build_nested_context(
    parent: Context, idempotent: bool, importance: Importance
) -> Context:
    """Return the context of a call nested in another.

    The nested call takes its parent's retry tokens and gives back what it does not
    spend: the sum over the whole tree stays what the root call began with. Of several
    nested calls at once the first has them; halving would leave none three hops down.
    """
    tokens, parent.retry_tokens = parent.retry_tokens, 0
    span = generate_span_id()
    return Context(
        call=span,
        trace=TraceParent(parent.trace.trace, parent.call, parent.trace.sampled),
        workspace=parent.workspace,
        key=parent.key,
        # A payout's own steps matter as much as the payout.
        importance=max(parent.importance, importance),
        deadline=parent.deadline,
        depth=parent.depth + 1,
        retry_tokens=tokens,
        idempotent=idempotent,
    )


def return_retry_tokens(parent: Context, child: Context) -> None:
    """Return a nested call's unused retry tokens to its parent."""
    parent.retry_tokens += child.retry_tokens
    child.retry_tokens = 0


def build_key_refusal(
    is_key_valid: Callable[[str, str], bool], context: Context
) -> Refusal | None:
    """Return the refusal of a call whose key was withdrawn meanwhile, else None."""
    if is_key_valid(context.workspace, context.key):
        return None
    return not_run(Reason.KEY_WITHDRAWN, "the key was withdrawn")
