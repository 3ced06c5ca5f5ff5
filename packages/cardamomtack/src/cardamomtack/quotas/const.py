"""Constants of the quotas area."""

from typing import Final

BUCKETS_MAX: Final = 20_000
"""Workspaces of which a holder keeps a bucket; others are left to the fallback."""

CEDED_MAX: Final = 1000
FALLBACK_KEPT_WINDOW_SHARE: Final = 0.25
"""Part of a window for which an unused token of the fallback is kept."""

FALLBACK_WORKSPACES_MAX: Final = 2000
HELD_SLACK_SHARE: Final = 0.5
"""Part of the slack that requests waiting for a server may use up beyond the burst."""

JOIN_WAIT_S: Final = 0.3
"""For how long a VM that has joined must hear of no others; less than YIELD_S."""

JOIN_WAIT_S_MAX: Final = 3.0

PREFETCH_S: Final = 0.1
"""For how many seconds of its demand a busy VM asks for tokens in advance."""

PREFETCH_LEVEL_MIN: Final = 0.5
"""Share of its capacity below which a bucket gives no tokens in advance."""

PREFETCH_MAX: Final = 32
PROMISE_EARLY_S: Final = 0.005
"""By how much a caller may come back before its turn."""

PROMISE_KEPT_S: Final = 0.3
"""For how long a token is kept for a caller that was told to come back for it."""

PROMISES_MAX: Final = 10_000
RATE_TIME_S: Final = 1.0
"""Time constant of the measured demand of this VM."""

RETRY_MARGIN_S: Final = 0.01
"""Added to the time at which a token is free, for the way back to the holder."""

RETURNED_SHARE_MIN: Final = 0.25
"""Share of the callers that come back below which no tokens are kept for them."""

RETURNS_WEIGHT: Final = 0.1
SETS_KEPT: Final = 8
"""Changes of the holders that are remembered; those that are confirmed go first."""

START_SLACK_SHARE: Final = 0.25
"""Part of the slack with which the buckets of a VM begin that has become a holder."""

TENURES_KEPT: Final = 5000
TOKEN_VALID_S: Final = 0.2
"""Time from the request for a token until it is void."""

VERSION_MAX: Final = 2**63 - 1
YIELD_S: Final = 0.5
"""For how long a VM grants on what another one has not claimed yet."""
