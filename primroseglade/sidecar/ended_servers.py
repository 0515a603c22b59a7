"""What nodes tell each other about backend servers that ended while they ran requests.

Requests and backend servers are named by hashes of 64 bits, so that messages stay small
and logs of nodes elsewhere hold nothing of a workspace's requests.
"""

import hashlib

import msgspec

HASH_BYTES = 8


class EndedServer(msgspec.Struct, array_like=True, frozen=True):
    """One process of a backend server that ended, and requests that ran on it.

    Attributes:
        server: Hash of the process (`hash_server`).
        node: Name of the node beside it.
        age_ms: Milliseconds from its end until the message was sent.
        requests: Hashes of the requests (`hash_request`).
        trials: Those of them that were already suspect when they were sent to it.
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
    return _hash(f"{instance} {start_time_ms}".encode())


def hash_request(identity: bytes, body: bytes, workspace: int) -> int:
    """Return the hash of a request, the same for all attempts of all callers.

    Args:
        identity: The parts of its head that attempts have in common.
        body: Its body.
        workspace: Hash of the workspace that it belongs to; 0 if unknown. One workspace
            cannot make another's requests suspect.
    """
    return _hash(b"%d %d " % (workspace, len(identity)), identity, body)


def _hash(*parts: bytes) -> int:
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for part in parts:
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")
