"""Constants of the placing area."""

from typing import Final

ASKED_MAX: Final = 4
ASKED_MIN: Final = 2
ASKING_ROOM_SHARE: Final = 0.5
"""Room in the budget of health checks below which fewer servers are asked."""

DOUBT_MIN: Final = 0.1
"""Share of failures above which a server is asked after the others."""

EJECTION_FAILURES: Final = 3
EJECTION_S_MAX: Final = 4.0
EJECTION_S_MIN: Final = 0.5
FAIR_TURN: Final = 4
"""One in so many slots that come free goes to the call that has waited longest."""

FAILURE_COST_FACTOR: Final = 6.0
FAILURE_GAIN: Final = 0.25
FAILURE_HALF_LIFE_S: Final = 3.0
FULL_SHARE: Final = 0.8
FULL_SLOWDOWN_HARMLESS: Final = 1.2
"""Below which the last slots of a server bring more than they take."""

FULL_SLOWDOWN_INITIAL: Final = 1.7
FULL_SLOWDOWN_MAX: Final = 4.0
HEDGE_BUDGET_SHARE: Final = 0.5
"""Part of the retry budget that second sends beside a late one may draw on."""

HEDGE_S_MIN: Final = 0.1
LATE_ASKED_MAX: Final = 2
LATE_FACTOR: Final = 2.5
LATE_SHARE: Final = 0.5
"""Share of a server's slots that calls may fill which will be late anyway."""

OVERDUE_FACTOR: Final = 4.0
OWN_ZONE_OBJECTIVE_SHARE: Final = 0.6
POLLED_MAX: Final = 2
POLLED_OTHER_ZONES_MAX: Final = 1
POLL_S: Final = 0.025
PRESSED_OTHER_ZONES_MAX: Final = 1
"""Servers of other zones that are asked while room is short everywhere."""

PRESSURE_S: Final = 1.0
REPORT_S_MAX: Final = 0.1
RETRY_BUDGET_SHARE: Final = 0.7
"""Part of the retry budget that is spent, for VMs that are not known yet."""

SILENCE_REST_S: Final = 0.25
TRAIT_GAIN: Final = 0.05
TRIAL_EVERY: Final = 50
USUAL_GAIN: Final = 0.1
WAITING_OPTIMISM: Final = 2.0
"""How many times as many slots as this VM frees may come free for its calls."""

WAITING_SLOTS_PER_S_MIN: Final = 15.0
WAIT_WORK_FACTOR: Final = 1.3
WARM_UP_COST_FACTOR: Final = 1.0
WORK_GAIN: Final = 0.1
WORK_INITIAL_S: Final = 0.2
ZONE_CROSSING_S: Final = 0.02
