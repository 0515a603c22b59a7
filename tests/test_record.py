"""At-most-once execution under reordered and lost messages and lost records."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import initialize, invariant, rule, RuleBasedStateMachine

from primroseglade.operations.record import OperationTable, RunDecision
from primroseglade.verdicts import Verdict


class OneOperation(RuleBasedStateMachine):
    """A caller sends attempts 1, 2, 3 ... once each, through either of two recorders.

    Attempts arrive in any order, the end of one may be reported late, twice or never,
    and a recorder may be replaced by an empty one.
    """

    @initialize()
    def start(self):
        self.records = [OperationTable(), OperationTable()]
        self.sent_attempts = 0
        self.in_transit: list[int] = []
        self.running: list[tuple[int, int, bool]] = []
        self.reported: list[tuple[int, int, Verdict]] = []
        self.run_count = 0

    @rule()
    def send(self):
        self.sent_attempts += 1
        self.in_transit.append(self.sent_attempts)

    @rule(which=st.integers(0, 50), recorder=st.integers(0, 1), ran=st.booleans())
    def arrive(self, which, recorder, ran):
        if not self.in_transit:
            return
        attempt = self.in_transit.pop(which % len(self.in_transit))
        decision = self.records[recorder].begin("north", "op", attempt)
        if decision is RunDecision.RUN:
            self.run_count += ran
            self.running.append((recorder, attempt, ran))

    @rule(which=st.integers(0, 50), lost=st.booleans(), unknown=st.booleans())
    def finish(self, which, lost, unknown):
        if not self.running:
            return
        recorder, attempt, ran = self.running.pop(which % len(self.running))
        if lost:
            return
        verdict = Verdict.RAN if ran else Verdict.NOT_RUN
        if unknown:
            verdict = Verdict.MAY_HAVE_RUN
        self.records[recorder].finish("north", "op", attempt, verdict)
        self.reported.append((recorder, attempt, verdict))

    @rule(which=st.integers(0, 50))
    def finish_again(self, which):
        if self.reported:
            recorder, attempt, verdict = self.reported[which % len(self.reported)]
            self.records[recorder].finish("north", "op", attempt, verdict)

    @rule(recorder=st.integers(0, 1))
    def replace(self, recorder):
        self.records[recorder] = OperationTable()

    @invariant()
    def ran_at_most_once(self):
        assert self.run_count <= 1


TestOneOperation = OneOperation.TestCase
TestOneOperation.settings = settings(max_examples=150, stateful_step_count=30)


def test_later_attempt_at_an_unrecorded_operation_is_refused():
    """The first attempt ran in another zone and its response was lost."""
    assert OperationTable().begin("north", "payout", 2) is RunDecision.UNKNOWN


def test_attempt_after_one_that_did_not_run_is_allowed():
    table = OperationTable()
    table.begin("north", "payout", 1)
    table.finish("north", "payout", 1, Verdict.NOT_RUN)
    assert table.begin("north", "payout", 2) is RunDecision.RUN


def test_duplicate_finish_does_not_finish_the_next_attempt():
    """The report that attempt 1 did not run arrives again while attempt 2 runs.

    If it were taken for the end of attempt 2, attempt 3 could run at the same time.
    """
    table = OperationTable()
    table.begin("north", "payout", 1)
    table.finish("north", "payout", 1, Verdict.NOT_RUN)
    table.begin("north", "payout", 2)
    table.finish("north", "payout", 1, Verdict.NOT_RUN)
    assert table.begin("north", "payout", 3) is RunDecision.RUNNING


def test_attempt_overtaken_by_a_later_one_does_not_run():
    """Attempt 2 is delayed, and attempt 3 is refused as not run.

    The caller then reports that the operation did not run. That would become wrong if
    attempt 2 were allowed to run when it arrives.
    """
    table = OperationTable()
    for attempt in (1, 3):
        table.begin("north", "payout", attempt)
        table.finish("north", "payout", attempt, Verdict.NOT_RUN)
    assert table.begin("north", "payout", 2) is RunDecision.MAY_HAVE_RUN


def test_operation_ids_are_scoped_to_the_workspace():
    table = OperationTable()
    assert table.begin("north", "payout", 1) is RunDecision.RUN
    assert table.begin("south", "payout", 1) is RunDecision.RUN


def test_operations_are_evicted_after_the_retention_time():
    now = 0.0
    table = OperationTable(lambda: now, retention_seconds=10.0)
    table.begin("north", "one", 1)
    now = 11.0
    table.begin("north", "two", 1)
    assert len(table) == 1
