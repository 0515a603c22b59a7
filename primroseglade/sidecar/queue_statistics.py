"""How long calls of each urgency wait at the backend server, and which are refused."""

from ..observe.events import CALLS_WAITED, Journal

# Urgency level of calls whose request is unknown, in log lines.
UNKNOWN_LEVEL = "unknown"


class LevelStatistics:
    """Calls of one urgency level since the last log line.

    Attributes:
        started: Calls that started after they had waited.
        refused: Calls that were refused on arrival or while they waited.
        longest_wait: Longest wait of a started call, in seconds.
    """

    __slots__ = ("longest_wait", "refused", "started")

    def __init__(self) -> None:
        self.started = 0
        self.refused = 0
        self.longest_wait = 0.0


class QueueStatistics:
    """Statistics of the calls that had to wait for a slot, by urgency level."""

    def __init__(self) -> None:
        self._levels: dict[int | None, LevelStatistics] = {}

    def record_start(self, level: int | None, waited_seconds: float) -> None:
        """Record a call that starts after a wait; its level is None if unknown."""
        statistics = self._get_statistics(level)
        statistics.started += 1
        statistics.longest_wait = max(statistics.longest_wait, waited_seconds)

    def record_refusal(self, level: int | None) -> None:
        """Record a call that is refused on arrival or while it waits."""
        self._get_statistics(level).refused += 1

    def log(self, journal: Journal, backend: str, queued: int, blocked: int) -> None:
        """Log the statistics since the last line, and start anew.

        Nothing is logged if no call had to wait.

        Args:
            journal: Receives the line.
            backend: Instance ID of the backend server.
            queued: Calls that wait at this moment.
            blocked: Running calls that wait for calls of their own.
        """
        if not self._levels:
            return
        levels, self._levels = self._levels, {}
        journal.emit(
            CALLS_WAITED,
            backend=backend,
            queued=queued,
            blocked=blocked,
            levels={
                UNKNOWN_LEVEL if level is None else str(level): {
                    "started": statistics.started,
                    "refused": statistics.refused,
                    "longest_wait": round(statistics.longest_wait, 3),
                }
                for level, statistics in levels.items()
            },
        )

    def _get_statistics(self, level: int | None) -> LevelStatistics:
        statistics = self._levels.get(level)
        if statistics is None:
            statistics = self._levels[level] = LevelStatistics()
        return statistics
