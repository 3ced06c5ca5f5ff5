"""The fold of the configuration stream, for readers that start anywhere."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from cardamomtack.configuration.const import REVISION_NONE
from cardamomtack.configuration.fold import ConfigurationFold, PublishDecision, Revision
from cardamomtack.generated.records import CheckpointRecord, PublishRecord

EXAMPLES_MAX = 150
READERS = 3


def make_publish(base: int, name: str = "p") -> PublishRecord:
    """Return a publish record upon a base."""
    return PublishRecord(name, base, "change", 0, "{}")


class FoldTest(unittest.TestCase):
    """Cases of one reader."""

    def test_two_publishers_upon_one_base_get_one_winner(self):
        fold = ConfigurationFold()
        self.assertIs(fold.apply_publish(0, make_publish(-1)), PublishDecision.ACCEPTED)
        self.assertIs(fold.apply_publish(1, make_publish(0)), PublishDecision.ACCEPTED)
        self.assertIs(fold.apply_publish(2, make_publish(0)), PublishDecision.CONFLICT)
        self.assertEqual(fold.number, 1)

    def test_duplicated_record_changes_nothing(self):
        fold = ConfigurationFold()
        fold.apply_publish(0, make_publish(-1))
        self.assertIs(fold.apply_publish(1, make_publish(-1)), PublishDecision.CONFLICT)
        self.assertEqual(fold.number, 0)

    def test_reader_of_a_late_start_waits_for_a_checkpoint(self):
        fold = ConfigurationFold()
        fold.skip_expired(5)
        self.assertIs(fold.apply_publish(5, make_publish(2)), PublishDecision.UNDECIDED)
        self.assertEqual(fold.number, REVISION_NONE)
        fold.apply_checkpoint(6, CheckpointRecord(3, 5, make_publish(2)))
        self.assertEqual(fold.number, 3)

    def test_publish_after_a_checkpoint_is_decided_again(self):
        fold = ConfigurationFold()
        fold.skip_expired(5)
        fold.apply_publish(5, make_publish(3))
        fold.apply_checkpoint(6, CheckpointRecord(3, 5, make_publish(2)))
        self.assertEqual(fold.number, 5)
        self.assertEqual(
            [one.verdict for one in fold.history], [PublishDecision.ACCEPTED]
        )

    def test_only_a_checkpoint_lets_new_readers_decide_what_follows(self):
        fold = ConfigurationFold()
        fold.apply_publish(0, make_publish(-1))
        fold.apply_publish(1, make_publish(0))
        self.assertEqual(fold.bootstrap_offset, 0)
        fold.apply_checkpoint(2, CheckpointRecord(1, 2, make_publish(0)))
        self.assertEqual(fold.bootstrap_offset, 2)

    def test_old_checkpoint_never_wins(self):
        fold = ConfigurationFold()
        fold.apply_publish(0, make_publish(-1))
        fold.apply_publish(1, make_publish(0))
        fold.apply_checkpoint(2, CheckpointRecord(0, 1, make_publish(-1)))
        self.assertEqual(fold.number, 1)

    def test_checkpoint_from_before_the_window_settles_nothing(self):
        fold = ConfigurationFold()
        fold.skip_expired(5)
        fold.apply_checkpoint(6, CheckpointRecord(2, 3, make_publish(1)))
        self.assertFalse(fold.is_decided)
        self.assertEqual(fold.number, REVISION_NONE)

    def test_snapshot_of_a_peer_is_adopted_when_it_is_ahead(self):
        fold = ConfigurationFold()
        fold.apply_publish(0, make_publish(-1))
        self.assertTrue(fold.apply_state(Revision(7, make_publish(4)), 9))
        self.assertFalse(fold.apply_state(Revision(5, make_publish(4)), 6))
        self.assertEqual((fold.number, fold.folded_to), (7, 9))


class FoldMachine(RuleBasedStateMachine):
    """Several readers of one stream whose old records expire."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[PublishRecord | CheckpointRecord] = []
        self.first_offset = 0
        self.reference = ConfigurationFold()
        self.truth: list[int] = []
        self.readers = [ConfigurationFold() for _ in range(READERS)]
        self.newest = [REVISION_NONE] * READERS

    def append_record(self, record: PublishRecord | CheckpointRecord) -> None:
        """Append a record, which the reference reads at once."""
        self.records.append(record)
        _apply(self.reference, len(self.records) - 1, record)
        self.truth.append(self.reference.number)

    @rule(stale=st.integers(0, 3))
    def publish(self, stale: int) -> None:
        """Publish upon the current revision, or upon an older one."""
        known = sorted({REVISION_NONE, *self.truth})
        base = known[max(0, len(known) - 1 - stale)]
        self.append_record(make_publish(base, str(len(self.records))))

    @precondition(lambda self: self.reference.current is not None)
    @rule(reader=st.integers(0, READERS - 1))
    def checkpoint(self, reader: int) -> None:
        """Let a reader, which may lag, append a checkpoint."""
        fold = self.readers[reader]
        if fold.current is None or not fold.is_decided:
            return
        self.append_record(
            CheckpointRecord(fold.number, fold.folded_to, fold.current.publish)
        )

    @rule(reader=st.integers(0, READERS - 1), count=st.integers(1, 4))
    def read(self, reader: int, count: int) -> None:
        """Let a reader read on."""
        fold = self.readers[reader]
        fold.skip_expired(self.first_offset)
        for offset in range(fold.folded_to, len(self.records))[:count]:
            _apply(fold, offset, self.records[offset])

    @rule(count=st.integers(1, 5))
    def expire(self, count: int) -> None:
        """Let the oldest records expire."""
        self.first_offset = min(len(self.records), self.first_offset + count)

    @rule(reader=st.integers(0, READERS - 1))
    def replace(self, reader: int) -> None:
        """Replace a VM by one that knows nothing."""
        self.readers[reader] = ConfigurationFold()
        self.newest[reader] = REVISION_NONE

    @rule(giver=st.integers(0, READERS - 1), taker=st.integers(0, READERS - 1))
    def share(self, giver: int, taker: int) -> None:
        """Let a reader adopt the state of another."""
        fold = self.readers[giver]
        if fold.current is not None and fold.is_decided:
            self.readers[taker].apply_state(fold.current, fold.folded_to)

    @invariant()
    def readers_agree_with_the_stream(self) -> None:
        """Check that a decided reader has what the stream had at its offset."""
        for fold in self.readers:
            if not fold.is_decided or fold.folded_to == 0:
                continue
            assert fold.number == self.truth[fold.folded_to - 1]

    @invariant()
    def no_reader_goes_back(self) -> None:
        """Check that revisions only grow."""
        for index, fold in enumerate(self.readers):
            assert fold.number >= self.newest[index]
            self.newest[index] = fold.number


def _apply(
    fold: ConfigurationFold, offset: int, record: PublishRecord | CheckpointRecord
) -> None:
    """Give a record to a fold."""
    if isinstance(record, PublishRecord):
        fold.apply_publish(offset, record)
    else:
        fold.apply_checkpoint(offset, record)


FoldMachineTest = FoldMachine.TestCase
FoldMachineTest.settings = settings(
    max_examples=EXAMPLES_MAX, stateful_step_count=40, derandomize=True, deadline=None
)


if __name__ == "__main__":
    unittest.main()
