"""The promises, checked by what callers and backend servers saw."""

# Of the platform's pages: a withdrawn key stops working within this many seconds.
REVOKE_SECONDS = 5.0
# A backend server whose leaving was acknowledged gets nothing after so many.
DRAIN_SECONDS = 2.0
# What a loaded machine may add to the moments that different processes note.
NOTE_SECONDS = 0.3
PROMISING = (408, 421, 429, 503)


class Sent:
    """One request of a caller, and what became of it.

    Attributes:
        at: When it was sent, on the machine's steady clock.
        status: Of the answer; 0 for none.
        whole: Whether a success had the whole body of this request.
    """

    __slots__ = ("at", "idempotent", "key", "request", "status", "whole")

    def __init__(self, request: str, key: str, idempotent: bool, at: float):
        self.request = request
        self.key = key
        self.idempotent = idempotent
        self.at = at
        self.status = 0
        self.whole = True


class Ran:
    """One run at a backend server, as it told."""

    __slots__ = ("at", "instance", "key_seen", "request", "tenant")

    def __init__(
        self, request: str, instance: str, tenant: str, key_seen: bool, at: float
    ):
        self.request = request
        self.instance = instance
        self.tenant = tenant
        self.key_seen = key_seen
        self.at = at


class Record:
    """All that was seen in a run of the soak."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}
        self.ran: dict[str, list[Ran]] = {}
        self.withdrawn: dict[str, float] = {}
        self.drained: dict[str, float] = {}
        self.tenants: dict[str, str] = {}


def find_broken(record: Record) -> list[str]:
    """Return each broken promise as one sentence."""
    broken: list[str] = []
    for request, runs in record.ran.items():
        sent = record.sent.get(request)
        if sent is None:
            broken.append(f"{request} ran and was never sent")
            continue
        broken += _check_runs(record, sent, runs)
    broken += [
        f"{sent.request} got a success with a body that is not its own"
        for sent in record.sent.values()
        if sent.status == 200 and not sent.whole
    ]
    return broken


def _check_runs(record: Record, sent: Sent, runs: list[Ran]) -> list[str]:
    broken = []
    if len(runs) > 1 and not sent.idempotent:
        broken.append(f"{sent.request} may run once and ran {len(runs)} times")
    if sent.status in PROMISING:
        broken.append(f"{sent.request} was answered {sent.status} and ran")
    withdrawn = record.withdrawn.get(sent.key)
    if withdrawn is not None and sent.at > withdrawn + REVOKE_SECONDS:
        broken.append(f"{sent.request} ran {sent.at - withdrawn:.1f} s after its key")
    for run in runs:
        if run.key_seen:
            broken.append(f"{sent.request} showed its key to {run.instance}")
        if run.tenant != record.tenants[sent.key]:
            broken.append(f"{sent.request} ran for {run.tenant!r}")
        drained = record.drained.get(run.instance)
        if drained is not None and run.at > drained + DRAIN_SECONDS + NOTE_SECONDS:
            late = run.at - drained
            broken.append(f"{sent.request} reached {run.instance} {late:.1f} s late")
    return broken
