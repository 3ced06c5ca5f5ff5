"""Reads one topic of the store while this VM or others need it."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random

from anyio import Event, move_on_after, sleep
from loguru import logger

from cardamomtack.helpers.clock import Clock
from cardamomtack.replicas.const import STALE_AFTER_S
from cardamomtack.replicas.topic import END_UNKNOWN, SOURCE_STORE, TopicReplica
from cardamomtack_daemon.replicas.const import (
    ANSWER_DUE_S,
    BACKOFF_S_MAX,
    BACKOFF_S_MIN,
    BATCH_S,
    CONFIRM_DUE_S,
    NEED_CHECK_S,
    POLL_WAIT_S,
    READ_TIMEOUT_S,
    READ_TIMEOUT_S_MAX,
    READER_BACKOFF_S_MAX,
    READER_TIMEOUT_S_MAX,
)
from cardamomtack_daemon.replicas.source import (
    RecordsDeletedError,
    StoreError,
    TopicSource,
)


class TopicReader:
    """Reads a topic while this VM is a reader or has nobody fresh to hear from.

    Parameters
    ----------
    replica : TopicReplica
        Takes the records.
    source : TopicSource
        The topic at the store.
    is_reader : callable
        Returns whether others rely on this VM.
    record_answer : callable
        Is told whether the store answers this VM: after each answer, and after each
        failure while it answers others.
    clock : Clock
        Tells the time.
    random : Random
        Spreads the attempts of the VMs after an outage.

    Attributes
    ----------
    calls : int
        Calls to the store.
    """

    __slots__ = (
        "_backoff_s",
        "_clock",
        "_deletions",
        "_expected_at_s",
        "_is_due",
        "_is_failing",
        "_is_reader",
        "_must_read_newest",
        "_random",
        "_record_answer",
        "_replica",
        "_source",
        "_timeout_s",
        "_wake",
        "_was_answered",
        "calls",
    )

    def __init__(
        self,
        replica: TopicReplica,
        source: TopicSource,
        is_reader: Callable[[], bool],
        record_answer: Callable[[bool], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self._backoff_s = BACKOFF_S_MIN
        self._clock = clock
        self._deletions = 0
        self._expected_at_s = inf
        self._is_due = False
        self._is_failing = False
        self._is_reader = is_reader
        self._must_read_newest = False
        self._record_answer = record_answer
        self._random = random
        self._replica = replica
        self._source = source
        self._timeout_s = READ_TIMEOUT_S
        self._was_answered = False
        self._wake = Event()
        self.calls = 0

    async def async_follow(self) -> None:
        """Read until cancelled; trouble of the store never ends it."""
        while True:
            if not self._is_needed():
                self._rest()
                await sleep(NEED_CHECK_S)
                continue
            try:
                has_records = await self._async_read()
            except RecordsDeletedError as error:
                await self._async_begin_anew(error)
            except StoreError as error:
                await self._async_back_off(error)
            else:
                self._record_answered()
                if has_records:
                    # Changes that come together are read together.
                    await sleep(BATCH_S)

    def is_store_unavailable(self) -> bool:
        """Return whether the store answers neither this VM nor those it hears from.

        What is old because another VM fell silent says nothing of the store.
        """
        is_late = self._clock.read_boot_s() > self._expected_at_s
        return (self._is_failing or is_late) and self._is_stale()

    async def _async_begin_anew(self, error: RecordsDeletedError) -> None:
        """Read the newest records next, later when that has just been done in vain."""
        self._must_read_newest = True
        self._deletions += 1
        if self._deletions > 1:
            await self._async_back_off(error)

    def refresh(self) -> None:
        """Read anew at once, on a new connection, after a suspension."""
        self._replica.clear_confirmation()
        self._rest()
        self._wake.set()

    def _rest(self) -> None:
        """Begin the next read as the first one: trouble of before says nothing then."""
        self._source.close()
        self._backoff_s = BACKOFF_S_MIN
        self._expected_at_s = inf
        self._is_failing = False
        self._timeout_s = READ_TIMEOUT_S
        self._was_answered = False

    def _is_needed(self) -> bool:
        """Return whether the topic is read here."""
        if self._is_reader():
            return True
        return self._is_stale()

    def _is_stale(self) -> bool:
        """Return whether the store has not confirmed the topic for too long."""
        return self._replica.compute_age_s(self._clock.read_boot_s()) > STALE_AFTER_S

    async def _async_read(self) -> bool:
        """Read once and return whether there were records.

        Raises
        ------
        StoreError
            When the store can't be read.
        """
        self.calls += 1
        sent_at_s = self._clock.read_boot_s()
        self._expected_at_s = sent_at_s + ANSWER_DUE_S
        if self._replica.end == END_UNKNOWN or self._must_read_newest:
            page = await self._source.async_read_newest(self._timeout_s)
            if (page.history, page.end) < self._replica.position:
                raise StoreError("the newest records are older than known ones")
            self._must_read_newest = False
            wait_s = 0.0
        else:
            # After trouble an answer at once tells that the store is back; a read
            # that waits could be lost unnoticed.
            wait_s = POLL_WAIT_S if self._was_answered and not self._is_due else 0.0
            self._expected_at_s += wait_s
            page = await self._source.async_read_from(
                self._replica.end, wait_s, self._timeout_s
            )
            if page.history != self._replica.history:
                raise RecordsDeletedError("the store has another history")
            if page.start > self._replica.end:
                # Another VM told of the history of now while this read was under way.
                return False
            self._deletions = 0
        self._replica.apply_records(page)
        taken_s = self._clock.read_boot_s() - sent_at_s
        # An answer proves what held when it was asked for, or after a wait in vain.
        has_waited = not page.records and taken_s >= wait_s
        self._replica.confirm(sent_at_s + (wait_s if has_waited else 0.0))
        self._is_due = not has_waited and taken_s > CONFIRM_DUE_S
        return bool(page.records)

    def _record_answered(self) -> None:
        """Record that the store answers."""
        if self._backoff_s > BACKOFF_S_MIN:
            logger.bind(topic=self._replica.topic).info("the store can be read again")
        self._record_answer(True)
        self._backoff_s = BACKOFF_S_MIN
        self._expected_at_s = inf
        self._is_failing = False
        self._timeout_s = READ_TIMEOUT_S
        self._was_answered = True

    async def _async_back_off(self, error: StoreError) -> None:
        """Wait before the next attempt, longer each time in a row.

        Others, or a VM that knows nothing yet, wait for what a reader reads, so it
        does not wait for long. The other VMs hear from a reader when the store is back.
        """
        if self._backoff_s == BACKOFF_S_MIN:
            logger.bind(topic=self._replica.topic, error=str(error)).warning(
                "the store can't be read"
            )
        self._is_failing = True
        now_s = self._clock.read_boot_s()
        if self._replica.is_fresh_without(SOURCE_STORE, now_s):
            self._record_answer(False)
        self._was_answered = False
        is_pressing = self._is_reader() or self._replica.end == END_UNKNOWN
        timeout_s_max = READER_TIMEOUT_S_MAX if is_pressing else READ_TIMEOUT_S_MAX
        self._timeout_s = min(timeout_s_max, 1.5 * self._timeout_s)
        backoff_s_max = READER_BACKOFF_S_MAX if is_pressing else BACKOFF_S_MAX
        self._backoff_s = min(backoff_s_max, 2.0 * self._backoff_s)
        self._wake = Event()
        with move_on_after(self._backoff_s * self._random.uniform(0.5, 1.0)):
            await self._wake.wait()
