"""Goodput, fairness and recovery time, computed from what callers saw."""

import collections
from typing import Any

from .checks import Evidence, Finding
from .records import CallRecord

STEP_SECONDS = 0.25
RECOVERED_RATIO = 0.95
WINDOW_STEPS = 4


class Report:
    """Measurements and findings of one run.

    Of the measurements, only ``outcomes`` includes the calls that were sent with the
    withdrawn key after its withdrawal.
    """

    __slots__ = (
        "findings",
        "goodput",
        "offered",
        "outcomes",
        "recovery_seconds",
        "refused_within_rate",
        "served_share",
        "worst_share",
        "worst_workspace",
    )

    def __init__(
        self, evidence: Evidence, findings: list[Finding], greedy_workspace: str
    ):
        calls = [
            call for call in evidence.calls if not _used_withdrawn_key(call, evidence)
        ]
        seconds = max(c.ended_at for c in calls) - min(c.sent_at for c in calls)
        served = sum(call.fully_served for call in calls)
        self.findings = findings
        self.offered = len(calls)
        self.goodput = served / seconds
        self.served_share = served / len(calls)
        self.outcomes = collections.Counter(call.outcome for call in evidence.calls)
        within_rate = [call for call in calls if call.workspace != greedy_workspace]
        self.refused_within_rate = sum(
            call.outcome in ("rate-exceeded", "rate-unavailable")
            for call in within_rate
        )
        self.worst_workspace, self.worst_share = _find_worst_served(within_rate)
        self.recovery_seconds = _measure_recovery(calls, evidence.overload)

    @property
    def passed(self) -> bool:
        """Whether all guarantees held."""
        return all(finding.passed for finding in self.findings)

    def to_dict(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        fields["findings"] = [
            {
                "promise": f.guarantee,
                "kept": f.passed,
                "checked": f.checked,
                "broken": f.violations,
            }
            for f in self.findings
        ]
        fields["kept"] = self.passed
        return fields

    def to_lines(self) -> list[str]:
        """Return the report as lines of text."""
        recovery = self.recovery_seconds
        lines = [
            f"calls offered                 {self.offered}",
            f"goodput of whole requests     {self.goodput:.1f}/s, "
            f"{self.served_share:.1%} of those offered",
            "recovery after overload       "
            + ("not reached" if recovery is None else f"{recovery:.2f} s"),
            f"worst-served workspace        {self.worst_workspace}, "
            f"{self.worst_share:.1%} served",
            f"refused within their rate     {self.refused_within_rate}",
            "outcomes                      "
            + ", ".join(f"{name} {n}" for name, n in self.outcomes.most_common()),
            "",
        ]
        for finding in self.findings:
            mark = "kept  " if finding.passed else "BROKEN"
            lines.append(
                f"{mark} {finding.guarantee} ({finding.checked} checked, "
                f"{finding.violations} broken)"
            )
        return lines


def _used_withdrawn_key(call: CallRecord, evidence: Evidence) -> bool:
    if evidence.withdrawn is None:
        return False
    workspace, key_number, withdrawn_at = evidence.withdrawn
    return (
        call.workspace == workspace
        and call.key_number == key_number
        and call.sent_at > withdrawn_at
    )


def _find_worst_served(calls: list[CallRecord]) -> tuple[str, float]:
    served: dict[str, list[bool]] = collections.defaultdict(list)
    for call in calls:
        served[call.workspace].append(call.fully_served)
    served_ratios = {name: sum(items) / len(items) for name, items in served.items()}
    worst = min(served_ratios, key=lambda name: served_ratios[name])
    return worst, served_ratios[worst]


def _measure_recovery(
    calls: list[CallRecord], overload: tuple[float, float] | None
) -> float | None:
    """Return seconds from the end of the overload until calls are served as before.

    That is when the served ratio of the calls sent within a sliding window of 1 s
    reaches 95 % of the ratio before the overload. Return None if it never does, or if
    there was no overload.
    """
    if overload is None:
        return None
    start, end = overload
    # Refusals of calls over the rate limit are not an effect of the overload.
    counted = [call for call in calls if call.outcome != "rate-exceeded"]
    before = [call.fully_served for call in counted if call.sent_at < start]
    if not before:
        return None
    target_ratio = RECOVERED_RATIO * sum(before) / len(before)
    step = 0
    while True:
        window_start = end + step * STEP_SECONDS
        window_end = window_start + WINDOW_STEPS * STEP_SECONDS
        in_window = [
            call.fully_served
            for call in counted
            if window_start <= call.sent_at < window_end
        ]
        if not in_window:
            return None
        if sum(in_window) / len(in_window) >= target_ratio:
            return step * STEP_SECONDS
        step += 1
