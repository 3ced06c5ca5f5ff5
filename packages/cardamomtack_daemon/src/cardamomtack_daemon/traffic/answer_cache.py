"""Answers that are kept to be given again."""

from __future__ import annotations

from collections import OrderedDict

from cardamomtack_daemon.const import HEADER_OUTCOME
from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.problems import OUTCOME_REPLAYED


class AnswerCache:
    """Keeps the answers of claims in bounded memory, the newest longest.

    Parameters
    ----------
    bytes_max : int
        Memory for bodies, in bytes.
    """

    __slots__ = ("_answers", "_bytes_max", "size_bytes")

    def __init__(self, bytes_max: int) -> None:
        self._answers: OrderedDict[bytes, HttpAnswer] = OrderedDict()
        self._bytes_max = bytes_max
        self.size_bytes = 0

    def store_answer(self, claim_id: bytes, answer: HttpAnswer) -> None:
        """Keep the whole answer of a claim."""
        if len(answer.body) > self._bytes_max or not answer.is_whole:
            return
        self._answers[claim_id] = answer
        self.size_bytes += len(answer.body)
        while self.size_bytes > self._bytes_max:
            _, dropped = self._answers.popitem(last=False)
            self.size_bytes -= len(dropped.body)

    def get_answer(self, claim_id: bytes) -> HttpAnswer | None:
        """Return the answer of a claim, or None when it is not kept."""
        return self._answers.get(claim_id)


def mark_replayed(answer: HttpAnswer) -> HttpAnswer:
    """Return a copy of an answer that says that it is given again."""
    headers = [*answer.headers, (HEADER_OUTCOME, OUTCOME_REPLAYED.encode())]
    return HttpAnswer(answer.status, headers, answer.body)
