"""From a seed to the faults of a run."""

import random

KINDS = (
    "node-pause",
    "node-kill",
    "node-stop",
    "backend-leave",
    "backend-kill",
    "backend-link",
    "store-link",
    "store-down",
    "store-slow",
    "store-loses-answers",
    "store-forgets",
    "key-withdrawn",
    "rate-changed",
)
# Faults come in series and overlap: so many a second on average.
FAULTS_A_SECOND = 0.7
LONGEST_SECONDS = 4.0


class FaultAt:
    """One fault.

    Args:
        at: Seconds from the start.
        kind: Of `KINDS`.
        seconds: How long it lasts.
        place: Number of the node or backend server.
        variant: A number that a kind may use.
    """

    __slots__ = ("at", "kind", "place", "seconds", "variant")

    def __init__(self, at: float, kind: str, seconds: float, place: int, variant: int):
        self.at = at
        self.kind = kind
        self.seconds = seconds
        self.place = place
        self.variant = variant

    def __repr__(self) -> str:
        return f"{self.at:.2f} s {self.kind} at {self.place} for {self.seconds:.2f} s"


def draw_schedule(seed: int, seconds: float, places: int) -> list[FaultAt]:
    """Return the faults of a seed, the same each time.

    >>> one = draw_schedule(1, 10.0, 4)
    >>> [repr(f) for f in one] == [repr(f) for f in draw_schedule(1, 10.0, 4)]
    True
    """
    rng = random.Random(seed)
    faults: list[FaultAt] = []
    now = rng.expovariate(FAULTS_A_SECOND)
    while now < seconds:
        faults.append(
            FaultAt(
                now,
                rng.choice(KINDS),
                rng.uniform(0.3, LONGEST_SECONDS),
                rng.randrange(places),
                rng.randrange(1000),
            )
        )
        now += rng.expovariate(FAULTS_A_SECOND)
    return faults
