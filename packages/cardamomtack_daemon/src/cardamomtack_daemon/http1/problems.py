"""Answers that the system itself makes."""

from __future__ import annotations

from msgspec import json

from cardamomtack_daemon.const import HEADER_OUTCOME
from cardamomtack_daemon.http1.messages import REASONS, HttpAnswer

OUTCOME_NOT_RUN = "not-run"
OUTCOME_REPLAYED = "replayed"
OUTCOME_UNKNOWN = "unknown"


def build_problem(
    status: int, detail: str, outcome: str, retry_after_s: float | None = None
) -> HttpAnswer:
    """Return an answer of type application/problem+json.

    Parameters
    ----------
    status : int
        HTTP status.
    detail : str
        What happened, for a person.
    outcome : str
        Whether the request ran: "not-run" or "unknown".
    retry_after_s : float or None
        When to send again, in seconds; the fraction is meant for callers that know it.
    """
    body = json.encode(
        {
            "type": "about:blank",
            "title": REASONS.get(status, b"Unknown").decode(),
            "status": status,
            "detail": detail,
            "outcome": outcome,
        }
    )
    headers = [
        (b"content-type", b"application/problem+json"),
        (HEADER_OUTCOME, outcome.encode()),
    ]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%g" % round(retry_after_s, 3)))
    return HttpAnswer(status, headers, body)
