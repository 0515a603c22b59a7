"""Handles, which backend servers present instead of a key for nested calls."""

import secrets
from collections.abc import Callable

from ..limits.importance import Importance
from ..observe.traces import generate_span_id, TraceParent
from ..verdicts import not_run, Reason, Refusal
from .call import Context

HANDLE_BYTES = 16


class Handles:
    """The calls in flight on the local backend server, by handle."""

    def __init__(self) -> None:
        self._contexts: dict[bytes, Context] = {}

    def __len__(self) -> int:
        return len(self._contexts)

    def issue(self, context: Context) -> bytes:
        """Return a new handle for a call that is sent to the backend server."""
        handle = secrets.token_urlsafe(HANDLE_BYTES).encode()
        self._contexts[handle] = context
        return handle

    def revoke(self, handle: bytes) -> None:
        """Revoke a handle when its call ends."""
        self._contexts.pop(handle, None)

    def find_context(self, handle: bytes) -> Context:
        """Return the context of the call to which a handle was issued.

        Raises:
            Refusal: ``not run``: no call in flight has this handle.
        """
        context = self._contexts.get(handle)
        if context is None:
            raise not_run(Reason.HANDLE_UNKNOWN, "no call in flight has this handle")
        return context


def build_nested_context(
    parent: Context, idempotent: bool, importance: Importance
) -> Context:
    """Return the context of a call nested in another.

    The nested call takes all retry tokens of its parent and returns the unused ones,
    so that the whole call tree never spends more than the root call was given. They
    are not split between concurrent nested calls: the first takes all. If each hop
    passed on only half, none would be left after three hops.
    """
    tokens, parent.retry_tokens = parent.retry_tokens, 0
    span = generate_span_id()
    return Context(
        call=span,
        trace=TraceParent(parent.trace.trace, parent.call, parent.trace.sampled),
        workspace=parent.workspace,
        key=parent.key,
        # A nested call is at least as important as its parent, which depends on it.
        importance=max(parent.importance, importance),
        deadline=parent.deadline,
        depth=parent.depth + 1,
        retry_tokens=tokens,
        idempotent=idempotent,
    )


def return_retry_tokens(parent: Context, child: Context) -> None:
    """Return the unused retry tokens of a nested call to its parent."""
    parent.retry_tokens += child.retry_tokens
    child.retry_tokens = 0


def build_key_refusal(
    is_key_valid: Callable[[str, str], bool], context: Context
) -> Refusal | None:
    """Return a refusal if the call's key has been withdrawn, else None."""
    if is_key_valid(context.workspace, context.key):
        return None
    return not_run(Reason.KEY_WITHDRAWN, "the API key was withdrawn")
