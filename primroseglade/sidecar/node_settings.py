"""The settings with which a node process starts."""

DEFAULT_MAX_ENDED_SERVERS = 3
DEFAULT_REQUEST_BLOCK_SECONDS = 600.0


class NodeSettings:
    """Holds the settings of a node process.

    All addresses but that of the backend server are listening addresses.

    Args:
        name: Unique name of the node.
        zone: Availability zone of the node.
        zones: Region of each availability zone, by zone.
        service: Service that the backend server provides.
        backend: Address of the backend server.
        host: IP address of the node.
        outbound: Address for requests of callers and of the backend server.
        ready: Address for readiness checks.
        control: Address for the backend server's status reports.
        peers: Address for other nodes.
        metrics: Address for scraping metrics.
        first_start: Whether the whole fleet starts for the first time.
        grace: Seconds from SIGTERM to SIGKILL.
        revoke: Seconds within which a withdrawn key must stop working.
        config_apply: Seconds within which a published policy must be active.
        retry_ratio: Retries allowed per first attempt, over the whole fleet.
        retry_fixed: Retries allowed in each window in addition, over the whole fleet.
        retry_window: Length of the retry budget's window, in seconds.
        quota_overshoot: Fraction by which the calls that the fleet admits in a window
            may exceed what a workspace's rate and burst allow.
        quota_slack: Number of further calls that the fleet may admit in a window.
        quota_window: Length of the rate limits' window, in seconds.
        cold_overshoot: Factor by which calls may exceed the rate that a cold backend
            server tolerates.
        max_ended_servers: Number of backend servers that may end under one request,
            over the whole fleet, before it is blocked.
        request_block: Seconds for which such a request is blocked.
    """

    __slots__ = (
        "backend",
        "cold_overshoot",
        "config_apply",
        "control",
        "first_start",
        "grace",
        "host",
        "max_ended_servers",
        "metrics",
        "name",
        "outbound",
        "peers",
        "quota_overshoot",
        "quota_slack",
        "quota_window",
        "ready",
        "request_block",
        "retry_fixed",
        "retry_ratio",
        "retry_window",
        "revoke",
        "service",
        "zone",
        "zones",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        zones: dict[str, str],
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
        cold_overshoot: float,
        max_ended_servers: int = DEFAULT_MAX_ENDED_SERVERS,
        request_block: float = DEFAULT_REQUEST_BLOCK_SECONDS,
    ):
        self.name = name
        self.zone = zone
        self.zones = zones
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
        self.cold_overshoot = cold_overshoot
        self.max_ended_servers = max_ended_servers
        self.request_block = request_block
