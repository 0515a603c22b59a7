"""What nodes tell each other about backend servers that ended while they ran requests.

Requests and backend servers are named by hashes of 64 bits, so that messages stay small
and logs of nodes elsewhere hold nothing of a workspace's requests.
"""

import hashlib

import msgspec

SERVER_HASH_BYTES = 8
# A request's hash is that of its head, then that of its body, so that bodies are hashed
# only if the head is that of a suspect request.
HEAD_HASH_BYTES = BODY_HASH_BYTES = 4
BODY_HASH_BITS = 8 * BODY_HASH_BYTES


class EndedServer(msgspec.Struct, array_like=True, frozen=True):
    """One process of a backend server that ended, and requests that ran on it.

    Attributes:
        server: Hash of the process (`hash_server`).
        node: Name of the node beside it.
        age_ms: Milliseconds from its end until the message was sent.
        requests: Hashes of the requests (`hash_request`).
        trials: Those of them that were suspect before, and the only suspect there.
    """

    server: int
    node: str
    age_ms: int
    requests: tuple[int, ...]
    trials: tuple[int, ...] = ()


class ClearedRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request that is not to blame for the end of some backend servers.

    Attributes:
        request: Hash of the request.
        servers: Hashes of the processes that had ended while they ran it.
    """

    request: int
    servers: tuple[int, ...]


def hash_server(instance: str, start_time_ms: int) -> int:
    """Return the hash of one process of a backend server.

    Args:
        instance: Its instance ID, which it may have had before.
        start_time_ms: Its start time in Unix milliseconds.
    """
    return _hash(f"{instance} {start_time_ms}".encode(), SERVER_HASH_BYTES)


def hash_head(identity: bytes, workspace: int) -> int:
    """Return the hash of a request's head, the same for all attempts of all callers.

    Args:
        identity: The parts of its head that attempts have in common.
        workspace: Hash of the workspace that it belongs to; 0 if unknown. One workspace
            cannot make another's requests suspect.
    """
    return _hash(b"%d %b" % (workspace, identity), HEAD_HASH_BYTES)


def hash_request(head_hash: int, body: bytes) -> int:
    """Return the hash of a request.

    Args:
        head_hash: Hash of its head.
        body: Its body.
    """
    return head_hash << BODY_HASH_BITS | _hash(body, BODY_HASH_BYTES)


def get_head_hash(request: int) -> int:
    """Return the part of a request's hash that is the hash of its head."""
    return request >> BODY_HASH_BITS


def _hash(data: bytes, size: int) -> int:
    digest = hashlib.blake2b(data, digest_size=size).digest()
    return int.from_bytes(digest, "big")
