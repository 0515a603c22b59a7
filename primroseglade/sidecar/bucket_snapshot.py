"""Snapshots of a workspace's token bucket for logs and metrics."""

from .token_pool import Bucket, TokenPool

# A bucket with less than this fraction of the holder's share of the burst is low on
# tokens.
LOW_TOKENS_RATIO = 0.5


class BucketSnapshot:
    """State of a workspace's bucket at one holder.

    Attributes:
        rate: Enforced rate limit of the whole fleet, in calls per second.
        burst: Enforced burst of the whole fleet, in calls.
        share: Fraction of rate and burst that is lent to this holder.
        demand: Calls per second for which tokens are requested here.
        tokens: Tokens left here after the last request.
    """

    __slots__ = ("burst", "demand", "rate", "share", "tokens")

    def __init__(self, bucket: Bucket, share: float, now: float):
        self.rate = bucket.limits.rate
        self.burst = bucket.limits.burst
        self.share = share
        self.demand = bucket.get_demand_per_second(now)
        self.tokens = bucket.tokens

    @property
    def low_on_tokens(self) -> bool:
        """Whether a bucket with demand is filled to less than `LOW_TOKENS_RATIO`."""
        return (
            self.demand > 0 and self.tokens < LOW_TOKENS_RATIO * self.burst * self.share
        )

    def to_fields(self) -> dict[str, float]:
        """Return the attributes as log fields, rounded to three decimals."""
        return {name: round(getattr(self, name), 3) for name in self.__slots__}


def build_snapshots(pool: TokenPool, now: float) -> dict[str, BucketSnapshot]:
    """Return snapshots of all buckets, by workspace."""
    return {
        bucket.limits.workspace: BucketSnapshot(bucket, pool.share, now)
        for bucket in pool
    }
