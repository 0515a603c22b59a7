"""The configuration document, indexed for the lookups that each call makes."""

import hashlib
import ipaddress
from collections.abc import Callable, Iterator
from typing import Any

from ..addresses import parse_address
from ..limits.importance import Importance


class Section:
    """The current value of a section and the record that set it.

    Args:
        value: The value, or None if the section was removed. A removed section keeps
            its version, so that an old edit that is appended again is rejected.
        version: Offset of the record that set the value.
        author: Author of the record.
        record_id: Id of the record.
    """

    __slots__ = ("author", "record_id", "value", "version")

    def __init__(
        self, value: dict[str, Any] | None, version: int, author: str, record_id: str
    ):
        self.value = value
        self.version = version
        self.author = author
        self.record_id = record_id

    def to_stored(self) -> list[Any]:
        """Return the representation used in snapshots."""
        return [self.value, self.version, self.author, self.record_id]


class Key:
    """Id, workspace and batch of an API key, of which only the digest is stored."""

    __slots__ = ("batch", "id", "workspace")

    def __init__(self, id: str, workspace: str, batch: str):
        self.id = id
        self.workspace = workspace
        self.batch = batch


class Rate:
    """Token bucket parameters: root calls per second, and burst in calls."""

    __slots__ = ("burst", "per_second")

    def __init__(self, per_second: float, burst: float):
        self.per_second = per_second
        self.burst = burst


class TrustedNetwork:
    """An IP network whose backend servers are trusted, and the servers' build batch."""

    __slots__ = ("batch", "network")

    def __init__(self, network: str, batch: str):
        self.network = ipaddress.ip_network(network)
        self.batch = batch


class Route:
    """The importance of calls with a method and path prefix; no method means any."""

    __slots__ = ("importance", "method", "path_prefix")

    def __init__(self, path_prefix: str, method: str, importance: Importance):
        self.path_prefix = path_prefix
        self.method = method
        self.importance = importance

    def matches(self, method: str, path: str) -> bool:
        """Whether a call matches the method and path prefix."""
        return path.startswith(self.path_prefix) and self.method in ("", method)


class Service:
    """A service: trusted networks, default timeout (s), idempotent path prefixes."""

    __slots__ = ("idempotent", "name", "timeout", "trusted")

    def __init__(self, name: str, value: dict[str, Any]):
        self.name = name
        self.timeout: float | None = value.get("timeout")
        self.idempotent = tuple(value.get("idempotent", ()))
        self.trusted = [
            TrustedNetwork(item["network"], item.get("batch", ""))
            for item in value["backend_servers"]
        ]


class ServiceRoutes:
    """The importance of a service's routes, and of calls that match none of them."""

    __slots__ = ("default_importance", "routes")

    def __init__(self, value: dict[str, Any]):
        self.default_importance = Importance.from_name(value["default"])
        self.routes = [
            Route(
                item["path"],
                item.get("method", ""),
                Importance.from_name(item["importance"]),
            )
            for item in value.get("routes", ())
        ]


class Recall:
    """The keys, workspaces and backend servers that one recall withdraws."""

    __slots__ = (
        "backend_server_batches",
        "backend_servers",
        "key_batches",
        "keys",
        "workspaces",
    )

    def __init__(self, value: dict[str, Any]):
        for name in self.__slots__:
            setattr(self, name, frozenset(value.get(name, ())))


def digest_key(key: str) -> str:
    """Return the digest by which the document identifies a key.

    >>> digest_key("x")[:14]
    'sha256:2d71164'
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class Document:
    """Stores sections and the lookup indexes derived from them."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}
        self._keys_by_digest: dict[str, Key] = {}
        self._keys_by_id: dict[str, Key] = {}
        self._services: dict[str, Service] = {}
        self._routes: dict[str, ServiceRoutes] = {}
        self._rates: dict[str, Rate] = {}
        self._shares: dict[str, float] = {}
        self._recalls: dict[str, Recall] = {}
        self._stale_after: dict[str, float] = {}

    @property
    def sections(self) -> dict[str, Section]:
        """All sections by name, including removed ones."""
        return self._sections

    @property
    def rates(self) -> dict[str, Rate]:
        """Rate limits by workspace."""
        return self._rates

    @property
    def shares(self) -> dict[str, float]:
        """Fraction of every rate and burst that a zone grants, by availability zone."""
        return self._shares

    @property
    def services(self) -> dict[str, Service]:
        """Services by name."""
        return self._services

    def put(self, name: str, section: Section) -> None:
        """Store a section, already checked by the caller, and update the indexes."""
        kind, _, own_name = name.partition("/")
        previous = self._sections.get(name)
        self._sections[name] = section
        _indexers[kind](self, own_name, previous and previous.value, section.value)

    def find_key_by_id(self, key_id: str) -> Key | None:
        """Return the key with this id, withdrawn or not."""
        return self._keys_by_id.get(key_id)

    def find_key_by_digest(self, digest: str) -> Key | None:
        """Return the key with this digest, withdrawn or not."""
        return self._keys_by_digest.get(digest)

    def is_withdrawn(self, workspace: str, key_id: str, batch: str = "") -> bool:
        """Whether a recall names the workspace, the key's id or the key's batch."""
        return any(
            workspace in recall.workspaces
            or key_id in recall.keys
            or (batch and batch in recall.key_batches)
            for recall in self._recalls.values()
        )

    def is_key_valid(self, workspace: str, key_id: str) -> bool:
        """Whether the workspace has the key and no recall withdraws it.

        Used for calls that are already in flight, queued or relayed: these carry the
        id of the key but no longer the key itself.
        """
        found = self._keys_by_id.get(key_id)
        if found is None or found.workspace != workspace:
            return False
        return not self.is_withdrawn(workspace, key_id, found.batch)

    def get_importance(self, service: str, method: str, path: str) -> Importance:
        """Return the importance of a call; ``path`` is relative to the service."""
        routes = self._routes.get(service)
        if routes is None:
            return Importance.NORMAL
        for route in routes.routes:
            if route.matches(method, path):
                return route.importance
        return routes.default_importance

    def get_stale_after(self, workspace: str) -> float | None:
        """Return a workspace's maximum configuration age (s), or None for no limit."""
        return self._stale_after.get(workspace)

    def trusts(self, service: str, address: str) -> bool:
        """Whether a backend server at ``IP:PORT`` may serve the service.

        A recall of batches withdraws the server only if the recall names the batch of
        every trusted network that contains the server.
        """
        known = self._services.get(service)
        if known is None:
            return False
        host = ipaddress.ip_address(parse_address(address)[0])
        batches = [item.batch for item in known.trusted if host in item.network]
        if not batches:
            return False
        return not any(
            address in recall.backend_servers
            or all(batch in recall.backend_server_batches for batch in batches)
            for recall in self._recalls.values()
        )

    def iterate_present(self) -> Iterator[tuple[str, Section]]:
        """Yield the name and section of every section that was not removed."""
        for name, section in self._sections.items():
            if section.value is not None:
                yield name, section


# None if the section was removed or did not exist.
Value = dict[str, Any] | None
Indexer = Callable[[Document, str, Value, Value], None]
_indexers: dict[str, Indexer] = {}


def indexer_for(kind: str) -> Callable[[Indexer], Indexer]:
    """Register the function that indexes changed sections of a kind."""

    def register(indexer: Indexer) -> Indexer:
        _indexers[kind] = indexer
        return indexer

    return register


@indexer_for("workspaces")
def _index_workspace(document: Document, name: str, old: Value, new: Value) -> None:
    for key_entry in (old or {}).get("keys", ()):
        # If the same edit moved the key to another workspace, the index may already
        # hold the new one.
        for index, index_key in (
            (document._keys_by_digest, key_entry["digest"]),
            (document._keys_by_id, key_entry["id"]),
        ):
            if index_key in index and index[index_key].workspace == name:
                del index[index_key]
    for key_entry in (new or {}).get("keys", ()):
        key = Key(key_entry["id"], name, key_entry.get("batch", ""))
        document._keys_by_digest[key_entry["digest"]] = key
        document._keys_by_id[key.id] = key
    _set_or_remove(document._stale_after, name, (new or {}).get("stale_after"))


@indexer_for("rates")
def _index_rate(document: Document, name: str, old: Value, new: Value) -> None:
    rate = new and Rate(new["per_second"], new["burst"])
    _set_or_remove(document._rates, name, rate)


@indexer_for("zones")
def _index_zone(document: Document, name: str, old: Value, new: Value) -> None:
    _set_or_remove(document._shares, name, new and new["share"])


@indexer_for("services")
def _index_service(document: Document, name: str, old: Value, new: Value) -> None:
    _set_or_remove(document._services, name, new and Service(name, new))


@indexer_for("importance")
def _index_importance(document: Document, name: str, old: Value, new: Value) -> None:
    _set_or_remove(document._routes, name, new and ServiceRoutes(new))


@indexer_for("recalls")
def _index_recall(document: Document, name: str, old: Value, new: Value) -> None:
    _set_or_remove(document._recalls, name, new and Recall(new))


def _set_or_remove(index: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        index.pop(name, None)
    else:
        index[name] = value
