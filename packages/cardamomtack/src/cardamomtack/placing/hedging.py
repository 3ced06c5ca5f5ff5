"""When a late answer makes a second send pay, and counts against its server.

This module handles servers that are healthy by their probes but never answer some of
the requests, or answer them many times later than usual, and answers that are lost on
the way. A request that may run more than once goes to a second server while its caller
still waits. A server that lets requests wait for far longer than its neighbours' noise
explains gets fewer of the next ones, long before a deadline passes.
"""

from __future__ import annotations

from cardamomtack.placing.const import (
    HEDGE_DELAY_FACTOR,
    HEDGE_DELAY_S_MIN,
    SOFT_FAILURE_DELAY_FACTOR,
)


def choose_hedge_delay_s(estimate_s: float) -> float:
    """Return how long an answer may take before it counts as late, in seconds.

    Parameters
    ----------
    estimate_s : float
        Within which the server was expected to answer, in seconds.
    """
    return max(HEDGE_DELAY_S_MIN, HEDGE_DELAY_FACTOR * estimate_s)


def choose_soft_failure_delay_s(estimate_s: float) -> float:
    """Return after how long a missing answer counts against its server, in seconds.

    Parameters
    ----------
    estimate_s : float
        Within which the server was expected to answer, in seconds.
    """
    return max(HEDGE_DELAY_S_MIN, SOFT_FAILURE_DELAY_FACTOR * estimate_s)
