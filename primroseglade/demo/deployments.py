"""The two deployments of the demo: their zones, services and workspaces."""

from typing import Any

from ..document.document import digest_key

# The slots of each backend server are divided by this: all run in one process, which
# could not fill more. Limits that are relative to slots stay in proportion.
SLOTS_DIVISOR = 20
MIN_SLOTS = 4


class ServiceSize:
    """Size of a service and its share of the load.

    Args:
        server_count: Number of backend servers.
        slots: Concurrency limit of each backend server.
        connections: Connection limit of each backend server.
        importance: Importance class of its calls.
        call_ratio: Fraction of all root calls that go to it.
        nested: Paths of calls that each of its calls makes first.
    """

    __slots__ = (
        "call_ratio",
        "connections",
        "importance",
        "nested",
        "server_count",
        "slots",
    )

    def __init__(
        self,
        server_count: int,
        slots: int,
        connections: int,
        importance: str = "normal",
        call_ratio: float = 0.25,
        nested: tuple[str, ...] = (),
    ):
        self.server_count = server_count
        self.slots = slots
        self.connections = connections
        self.importance = importance
        self.call_ratio = call_ratio
        self.nested = nested


class Deployment:
    """Availability zones, services and workspaces of a deployment.

    Args:
        name: Name of the deployment.
        zones: Availability zones, which get equal shares of each rate.
        services: Services by name; the first is the one that other services call.
        workspaces: Fraction of all root calls that each workspace sends, by name.
    """

    __slots__ = ("name", "services", "workspaces", "zones")

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        services: dict[str, ServiceSize],
        workspaces: dict[str, float],
    ):
        self.name = name
        self.zones = zones
        self.services = services
        self.workspaces = workspaces

    @property
    def deep_service(self) -> str:
        """Service that other services call, and that the demo slows down."""
        return next(iter(self.services))

    @property
    def critical_service(self) -> str:
        """Service whose calls are shed last."""
        return next(
            name
            for name, size in self.services.items()
            if size.importance == "critical"
        )

    def build_document(self, rate: float, burst: float) -> dict[str, Any]:
        """Return the document's sections; its rates add up to ``rate`` calls/s."""
        share = 1 / len(self.zones)
        return {
            "zones": {zone: {"share": share} for zone in self.zones},
            "workspaces": {
                name: {"keys": [build_key(name, 1), build_key(name, 2)]}
                for name in self.workspaces
            },
            "rates": {
                name: {
                    "per_second": rate * call_ratio,
                    "burst": max(8.0, burst * call_ratio),
                }
                for name, call_ratio in self.workspaces.items()
            },
            "services": {
                name: {"backend_servers": [{"network": "127.0.0.0/8"}]}
                for name in self.services
            },
            "importance": {
                name: {"default": size.importance}
                for name, size in self.services.items()
            },
        }


def build_key(workspace: str, number: int) -> dict[str, Any]:
    """Return a key's entry in the document, with its digest."""
    return {
        "id": f"{workspace}-{number}",
        "digest": digest_key(get_key(workspace, number)),
        "batch": f"batch-{number}",
    }


def get_key(workspace: str, number: int) -> str:
    """Return a workspace's key in plain text, as callers send it."""
    return f"demo-key-of-{workspace}-number-{number}"


# Split and Lagos are the cities that the deployments serve.
SPLIT_DEPLOYMENT = Deployment(
    "split",
    ("split-a", "split-b", "split-c", "split-d"),
    {
        "archive": ServiceSize(6, 150, 1000, "normal", 0.4),
        "imagery": ServiceSize(4, 230, 1500, "low", 0.25),
        "certificates": ServiceSize(4, 230, 1500, "high", 0.25, ("/archive/history",)),
        "dispatch": ServiceSize(4, 20, 230, "critical", 0.1, ("/archive/history",)),
    },
    {
        "inspectorate": 0.25,
        "sweepers-north": 0.2,
        "sweepers-south": 0.2,
        "dispatchers": 0.1,
        "sweepers-islands": 0.1,
        "billing": 0.05,
        "archive-office": 0.05,
        "partners": 0.05,
    },
)

LAGOS_DEPLOYMENT = Deployment(
    "lagos",
    ("lagos-a", "lagos-b", "lagos-c"),
    {
        "wallet": ServiceSize(5, 100, 700, "normal", 0.4),
        "docs": ServiceSize(3, 170, 1150, "low", 0.2),
        "roster": ServiceSize(3, 40, 340, "normal", 0.25, ("/wallet/balance",)),
        "disburse": ServiceSize(3, 170, 1150, "critical", 0.15, ("/wallet/balance",)),
    },
    {
        "crew-mainland": 0.25,
        "crew-island": 0.2,
        "managers": 0.15,
        "riggers": 0.15,
        "drivers": 0.1,
        "caterers": 0.05,
        "accounts": 0.05,
        "partners": 0.05,
    },
)

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (SPLIT_DEPLOYMENT, LAGOS_DEPLOYMENT)
}
