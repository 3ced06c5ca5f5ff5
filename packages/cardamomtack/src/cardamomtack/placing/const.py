"""Constants of the placing area."""

from typing import Final

PROBED_MAX: Final = 4
PROBED_MIN: Final = 2
PROBE_BUDGET_SHARE_MIN: Final = 0.5
"""Share of the budget of probes below which fewer servers are probed."""

PROBED_LAST_FAILURE_SHARE: Final = 0.1
"""Share of failures above which a server is probed after the others."""

EJECTION_FAILURES: Final = 3
EJECTION_S_MAX: Final = 4.0
EJECTION_S_MIN: Final = 0.5
LONGEST_WAITING_EVERY: Final = 4
"""One in so many slots that come free goes to the call that has waited longest."""

FAILURE_COST_FACTOR: Final = 6.0
FAILURE_GAIN: Final = 0.25
FAILURE_HALF_LIFE_S: Final = 3.0
FAILURE_SHARE_AGE_S_MAX: Final = 0.1
"""For how long the usual share of failures of a service is not worked out again."""

NEAR_CAPACITY_SHARE: Final = 0.8
NEAR_CAPACITY_SLOWDOWN_HARMLESS: Final = 1.2
"""Below which the last slots of a server bring more than they take."""

NEAR_CAPACITY_SLOWDOWN_INITIAL: Final = 1.7
NEAR_CAPACITY_SLOWDOWN_MAX: Final = 4.0
HEDGE_BUDGET_SHARE: Final = 0.5
"""Part of the retry budget that second sends beside a late one may draw on."""

HEDGE_DELAY_S_MIN: Final = 0.1
LATE_PROBED_MAX: Final = 2
HEDGE_DELAY_FACTOR: Final = 2.5
LATE_SLOT_SHARE_MAX: Final = 0.5
"""Share of a server's slots that calls may fill which will be late anyway."""

SOFT_FAILURE_DELAY_FACTOR: Final = 4.0
OWN_ZONE_OBJECTIVE_SHARE: Final = 0.6
POLLED_MAX: Final = 2
POLLED_OTHER_ZONES_MAX: Final = 1
QUEUE_POLL_INTERVAL_S: Final = 0.025
OVERLOAD_OTHER_ZONES_MAX: Final = 1
"""Servers of other availability zones that are probed in overload."""

OVERLOAD_WINDOW_S: Final = 1.0
REPORT_AGE_S_MAX: Final = 0.1
REPORT_FRESH_S_MAX: Final = 0.01
"""For how long a report is as good as that of a probe."""

NEW_RUN_SLACK_SHARE: Final = 0.42
"""Part of its slack that a VM may spend beside what it spent before its start."""

RETRY_BUDGET_SHARE: Final = 0.7
"""Part of the retry budget that is spent, for VMs that are not known yet."""

PROBE_TIMEOUT_EJECTION_S: Final = 0.25
SLOWDOWN_GAIN: Final = 0.05
SLOW_TRIAL_EVERY: Final = 50
USUAL_GAIN: Final = 0.1
FREED_SLOTS_FACTOR: Final = 2.0
"""How many times as many slots as this VM frees may come free for its calls."""

FREED_SLOTS_PER_S_MIN: Final = 15.0
WAIT_WORK_FACTOR: Final = 1.3
WARM_UP_COST_FACTOR: Final = 1.0
WORK_GAIN: Final = 0.1
WORK_INITIAL_OBJECTIVE_SHARE: Final = 0.33
ZONE_CROSSING_S: Final = 0.02
