"""What a node is told at its start."""


class NodeSettings:
    """What a node is told at its start.

    Args:
        name: Of the node.
        zone: Availability zone.
        service: What the backend server beside it serves.
        backend: Address of the backend server.
        host: Own IP number.
        outbound: Address for callers and the backend server.
        ready: Address for readiness checks.
        control: Address for the backend server's reports.
        peers: Address for other nodes.
        metrics: Address for metrics.
        first_start: Whether the whole fleet starts for the first time.
        grace: Seconds from SIGTERM to SIGKILL.
        revoke: Seconds within which a withdrawn key must stop working.
        config_apply: Seconds within which a configuration must be in force.
        retry_ratio: Repeats for each first attempt, over the fleet.
        retry_fixed: Repeats in a window besides, over the fleet.
        retry_window: Seconds.
        quota_overshoot: Part of a rate that the fleet may let through besides.
        quota_slack: Calls in a window besides.
        quota_window: Seconds of that window.
    """

    __slots__ = (
        "backend",
        "config_apply",
        "control",
        "first_start",
        "grace",
        "host",
        "metrics",
        "name",
        "outbound",
        "peers",
        "quota_overshoot",
        "quota_slack",
        "quota_window",
        "ready",
        "retry_fixed",
        "retry_ratio",
        "retry_window",
        "revoke",
        "service",
        "zone",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        backend: str,
        host: str,
        outbound: str,
        ready: str,
        control: str,
        peers: str,
        metrics: str,
        first_start: bool,
        grace: float,
        revoke: float,
        config_apply: float,
        retry_ratio: float,
        retry_fixed: float,
        retry_window: float,
        quota_overshoot: float,
        quota_slack: float,
        quota_window: float,
    ):
        self.name = name
        self.zone = zone
        self.service = service
        self.backend = backend
        self.host = host
        self.outbound = outbound
        self.ready = ready
        self.control = control
        self.peers = peers
        self.metrics = metrics
        self.first_start = first_start
        self.grace = grace
        self.revoke = revoke
        self.config_apply = config_apply
        self.retry_ratio = retry_ratio
        self.retry_fixed = retry_fixed
        self.retry_window = retry_window
        self.quota_overshoot = quota_overshoot
        self.quota_slack = quota_slack
        self.quota_window = quota_window
