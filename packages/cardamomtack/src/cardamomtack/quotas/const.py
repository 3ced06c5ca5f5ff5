"""Constants of the quotas area."""

from typing import Final

BUCKETS_MAX: Final = 20_000
"""Workspaces of which a holder keeps a bucket; others are left to the fallback."""

CLAIMS_MAX: Final = 1000
FALLBACK_KEPT_WINDOW_SHARE: Final = 0.25
"""Part of a window for which an unused token of the fallback is kept."""

FALLBACK_WORKSPACES_MAX: Final = 2000
FORMER_SETS_MAX: Final = 8
"""Former sets of holders that are kept; confirmed ones are dropped first."""

HANDOVER_S: Final = 0.5
"""For how long a former holder continues to grant until it is claimed from."""

JOIN_WAIT_S: Final = 0.3
"""Time without a change of the members before a new VM grants; under HANDOVER_S."""

JOIN_WAIT_S_MAX: Final = 3.0
PREFETCH_LEVEL_MIN: Final = 0.5
"""Share of its capacity below which a bucket gives no tokens in advance."""

PREFETCH_MAX: Final = 32
PREFETCH_S: Final = 0.1
"""For how many seconds of its demand a busy VM asks for tokens in advance."""

RATE_TIME_S: Final = 1.0
"""Time constant of the measured demand of this VM."""

RESERVATIONS_MAX: Final = 10_000
RESERVATION_EARLY_S: Final = 0.005
"""By how much a caller may come back before its retry time."""

RESERVATION_S: Final = 0.3
"""For how long after its retry time a token stays reserved for a caller."""

RETRY_MARGIN_S: Final = 0.01
"""Added to the time at which a token is free, for the way back to the holder."""

RETURNED_SHARE_MIN: Final = 0.25
"""Share of the callers that come back below which no tokens are reserved."""

RETURNED_SHARE_WEIGHT: Final = 0.1
START_SLACK_SHARE: Final = 0.25
"""Part of the slack with which the buckets of a VM begin that has become a holder."""

TENURES_MAX: Final = 5000
TOKEN_VALID_S: Final = 0.2
"""Time from the request for a token until it is void."""

VERSION_MAX: Final = 2**63 - 1
WAITING_SLACK_SHARE: Final = 0.5
"""Part of the slack that requests waiting for a server may use up beyond the burst."""
