"""What is known of the caller's request that a call belongs to.

A request of a caller makes a backend server call others, and these call further ones.
All of these calls are as urgent as the request, and useless if it fails or is late.
"""

import zlib

import msgspec

from .model import Tenant

# Weight of a workspace without a rate limit, above that of most limits.
UNLIMITED_WEIGHT = 1000


class ContextFields(msgspec.Struct, array_like=True):
    """A request context in a message between nodes, whose clocks differ.

    Attributes:
        rank: Urgency of the request, 0 the most urgent (`model.rank_request`).
        workspace: Hash of the workspace's name.
        target_ms: Milliseconds left to the request's latency target when the message
            was sent; negative if missed.
        weight: Weight of the workspace among others of the same urgency.
    """

    rank: int
    workspace: int
    target_ms: float
    weight: float = 1.0


class RequestContext:
    """The request of a caller that a call belongs to, directly or through others.

    Args:
        rank: Urgency of the request, 0 the most urgent.
        workspace: Hash of the workspace's name.
        target_at: Time on the loop's clock at which the request misses its latency
            target.
        weight: Weight of the workspace among others of the same urgency.
    """

    __slots__ = ("rank", "target_at", "weight", "workspace")

    def __init__(
        self, rank: int, workspace: int, target_at: float, weight: float = 1.0
    ):
        self.rank = rank
        self.workspace = workspace
        self.target_at = target_at
        self.weight = weight

    def to_fields(self, now: float) -> ContextFields:
        """Return the context for a message that is sent now."""
        target_ms = int((self.target_at - now) * 1000)
        return ContextFields(self.rank, self.workspace, target_ms, self.weight)


def build_context(rank: int, workspace: Tenant, target_at: float) -> RequestContext:
    """Return the context of a workspace's request.

    Args:
        rank: Urgency of the request.
        workspace: The workspace; its rate limit, as a whole number, is its weight.
        target_at: Time on the loop's clock at which the request misses its latency
            target.
    """
    name_hash = zlib.crc32(workspace.name.encode())
    weight = max(1, round(workspace.rate)) if workspace.rate > 0 else UNLIMITED_WEIGHT
    return RequestContext(rank, name_hash, target_at, weight)


def read_context(fields: ContextFields | None, now: float) -> RequestContext | None:
    """Return the context that a received message holds, None if it holds none."""
    if fields is None:
        return None
    target_at = now + fields.target_ms / 1000
    return RequestContext(fields.rank, fields.workspace, target_at, fields.weight)
