"""Generates the fault schedule of a run from its seed."""

import random

FAULT_KINDS = (
    "node-pause",
    "node-kill",
    "node-stop",
    "node-kill-series",
    "node-stop-slow-readers",
    "backend-leave",
    "backend-leave-twice",
    "backend-kill",
    "backend-limit",
    "backend-spoils-answers",
    "backend-states-leaving",
    "fatal-request",
    "backend-link",
    "store-link",
    "store-down",
    "store-slow",
    "store-loses-answers",
    "store-forgets",
    "key-withdrawn",
    "rate-changed",
)
# Rate of a Poisson process, in which faults can come in bursts and overlap.
MEAN_FAULTS_PER_SECOND = 0.7
MAX_FAULT_SECONDS = 4.0


class ScheduledFault:
    """One fault of the schedule.

    Args:
        start_seconds: Time from the start of the schedule.
        kind: One of `FAULT_KINDS`.
        duration_seconds: Duration; ignored by kinds that happen at one moment.
        machine_index: Index of the affected machine; ignored by kinds that affect none.
        variant: Random number; some kinds use it to choose a key, a rate or a fault.
    """

    __slots__ = (
        "duration_seconds",
        "kind",
        "machine_index",
        "start_seconds",
        "variant",
    )

    def __init__(
        self,
        start_seconds: float,
        kind: str,
        duration_seconds: float,
        machine_index: int,
        variant: int,
    ):
        self.start_seconds = start_seconds
        self.kind = kind
        self.duration_seconds = duration_seconds
        self.machine_index = machine_index
        self.variant = variant

    def __repr__(self) -> str:
        return (
            f"{self.start_seconds:.2f} s {self.kind} at {self.machine_index} "
            f"for {self.duration_seconds:.2f} s"
        )


def generate_faults(
    seed: int, schedule_seconds: float, machine_count: int
) -> list[ScheduledFault]:
    """Return the faults for a seed, the same in each run, ordered by start time.

    >>> one = generate_faults(1, 10.0, 4)
    >>> [repr(f) for f in one] == [repr(f) for f in generate_faults(1, 10.0, 4)]
    True
    """
    rng = random.Random(seed)
    faults: list[ScheduledFault] = []
    now = rng.expovariate(MEAN_FAULTS_PER_SECOND)
    while now < schedule_seconds:
        faults.append(
            ScheduledFault(
                now,
                rng.choice(FAULT_KINDS),
                rng.uniform(0.3, MAX_FAULT_SECONDS),
                rng.randrange(machine_count),
                rng.randrange(1000),
            )
        )
        now += rng.expovariate(MEAN_FAULTS_PER_SECOND)
    return faults
