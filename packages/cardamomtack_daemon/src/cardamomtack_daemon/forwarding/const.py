"""Constants of the forwarding area."""

from typing import Final

ANSWER_BUFFER_BYTES_MAX: Final = 1_048_576
LOAD_PROBE_TIMEOUT_S: Final = 0.03
LOAD_PROBE_TIMEOUT_S_MAX: Final = 0.25
LOAD_PROBE_TURN_S: Final = 0.006
"""After how long without an answer the next server is probed beside the last one."""

BALANCER_NOTICE_S: Final = 2.5
BALANCER_NOTICE_SHARE_MAX: Final = 0.5
"""Share of a short grace period for which requests are taken."""

CLOCK_CHECK_S: Final = 0.25
CLOCK_JUMP_S: Final = 0.4
DELIVERY_S_MAX: Final = 0.15
"""Time after the last answers in which they may leave; a part of EXIT_MARGIN_S."""

DRAIN_CHECK_S: Final = 0.05
EXIT_MARGIN_S: Final = 0.3
FINISH_FACTOR: Final = 1.5
"""How many times as long as estimated an answer may take before this VM ends."""

FINISH_S_MIN: Final = 0.1
"""Time that a short answer is given before this VM ends."""

FLEET_VMS_ASSUMED: Final = 320
"""How many VMs share the health checks as long as a VM that starts knows no others."""

HEAD_MARGIN_S: Final = 0.5
IDLE_MARGIN_S: Final = 1.0
LIFE_TIMEOUT_S: Final = 0.25
MAINTENANCE_S: Final = 0.5
QUOTA_RETURN_OBJECTIVE_SHARE: Final = 0.25
"""Longest retry time with a reserved token, as a part of the time to the objective.

A token that is reserved for longer gives a late answer to one caller, and is missing
for another that could be in time.
"""

SUSPENDED_RETRY_AFTER_S: Final = 0.05
SUSPECT_RETRY_AFTER_S: Final = 60.0
UNCONFIGURED_RETRY_AFTER_S: Final = 0.3
