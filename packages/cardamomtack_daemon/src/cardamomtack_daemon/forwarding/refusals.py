"""Refusals of requests that have not run and will not run."""

from __future__ import annotations

from cardamomtack_daemon.http1.messages import HttpAnswer
from cardamomtack_daemon.http1.problems import OUTCOME_NOT_RUN, build_problem


def build_refusal(detail: str, retry_after_s: float) -> HttpAnswer:
    """Return a refusal with 503 and the time after which a retry makes sense."""
    return build_problem(503, detail, OUTCOME_NOT_RUN, retry_after_s)


def build_quota_refusal(detail: str, retry_after_s: float) -> HttpAnswer:
    """Return a refusal with 429 and the time after which a retry is admitted."""
    return build_problem(429, detail, OUTCOME_NOT_RUN, retry_after_s)
