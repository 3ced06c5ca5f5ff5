"""Constants of the placing area."""

from typing import Final

ASKED_MAX: Final = 4
ASKED_MIN: Final = 2
ASKING_ROOM_SHARE: Final = 0.5
"""Room in the budget of health checks below which fewer servers are asked."""

EJECTION_FAILURES: Final = 3
EJECTION_S_MAX: Final = 4.0
EJECTION_S_MIN: Final = 0.5
FAILURE_COST_FACTOR: Final = 6.0
FAILURE_GAIN: Final = 0.25
FAILURE_HALF_LIFE_S: Final = 3.0
FULL_SHARE: Final = 0.8
FULL_SLOWDOWN: Final = 1.7
HEDGE_BUDGET_SHARE: Final = 0.5
"""Part of the retry budget that second sends beside a late one may draw on."""

HEDGE_S_MIN: Final = 0.1
LATE_FACTOR: Final = 2.5
OVERDUE_FACTOR: Final = 4.0
OWN_ZONE_OBJECTIVE_SHARE: Final = 0.6
REPORT_S_MAX: Final = 0.1
RETRY_BUDGET_SHARE: Final = 0.7
"""Part of the retry budget that is spent, for VMs that are not known yet."""

SILENCE_REST_S: Final = 0.25
SPEED_HOLD_S: Final = 0.3
USUAL_GAIN: Final = 0.1
WARM_UP_COST_FACTOR: Final = 1.0
WORK_GAIN: Final = 0.1
WORK_INITIAL_S: Final = 0.2
ZONE_CROSSING_S: Final = 0.02
