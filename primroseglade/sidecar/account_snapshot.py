"""Snapshots of a workspace's account for logs and metrics."""

# Fraction of the burst below which a workspace is low on tokens.
LOW_TOKENS = 0.5


class AccountSnapshot:
    """State of a workspace's account at a point in time.

    Attributes:
        rate: Enforced calls per second, including the allowance.
        burst: Enforced burst in calls, including the allowance.
        demand: Calls per second received by this node.
        others_demand: Calls per second received by the other nodes, as last reported.
        others: Number of other nodes whose reports are counted.
        tokens: Tokens left in the fleet's bucket, as this node sees it.
        unseen: Tokens reserved for calls that other nodes have not reported yet.
        share: Fraction of the rate that this node admits when the bucket is empty.
        admitted: Calls admitted by this node since its start.
    """

    __slots__ = (
        "admitted",
        "burst",
        "demand",
        "others",
        "others_demand",
        "rate",
        "share",
        "tokens",
        "unseen",
    )

    def __init__(
        self,
        rate: float,
        burst: float,
        demand: float,
        others_demand: float,
        others: int,
        tokens: float,
        unseen: float,
        share: float,
        admitted: int,
    ):
        self.rate = rate
        self.burst = burst
        self.demand = demand
        self.others_demand = others_demand
        self.others = others
        self.tokens = tokens
        self.unseen = unseen
        self.share = share
        self.admitted = admitted

    @property
    def low_on_tokens(self) -> bool:
        """Whether unreserved tokens are below `LOW_TOKENS` of the burst."""
        return self.tokens - self.unseen < LOW_TOKENS * self.burst

    def to_fields(self) -> dict[str, float]:
        """Return the attributes as log fields, rounded to two decimals."""
        return {name: round(getattr(self, name), 2) for name in self.__slots__}
