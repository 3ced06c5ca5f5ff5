"""Constants of the limits area."""

from typing import Final

BURST_S: Final = 0.5
"""Seconds of its share that a VM may use at once; one request at least."""

ENDED_KEPT_S: Final = 60.0
"""For how long it is remembered that a limit has ended, or that its server is gone."""

FORGOTTEN_S: Final = 60.0
"""After how long a VM that is silent no longer counts as part of the fleet."""

HEARTBEAT_S_MIN: Final = 1.0
HEARTBEATS_PER_S_MAX: Final = 20.0
"""Heartbeats that each VM may hear from all others together."""

IDLE_AFTER_S: Final = 2.0
LEAVING_KEPT: Final = 5000
"""Servers of which it is remembered that they leave."""

LEAVING_TOLD: Final = 200
"""How many of them, the latest, a VM is told that may have missed them."""

NOTICE_DELAY_S_MAX: Final = 0.5
PAUSE_S_MAX: Final = 60.0
"""Longest pause that a server is believed to want."""

SHARE_PER_S_MIN: Final = 0.5
"""Requests a second that a VM is dealt at least; fewer VMs share a lower limit."""

SILENT_AFTER_HEARTBEATS: Final = 3.0
TRIAL_RATE_PER_S: Final = 0.05
"""What is sent in spite of a lower limit, as only an answer tells that it has ended."""
