"""Constants of the path of a request."""

from typing import Final

CRASH_CHECK_S: Final = 0.005
DEADLINE_MARGIN_S: Final = 0.002
FREE_ATTEMPTS_MAX: Final = 4
HEDGE_LATENCY_FACTOR: Final = 3.0
RETRY_AFTER_S: Final = 1
SERVER_FAILURE_STATUS_MIN: Final = 500
SILENCE_LATENCY_FACTOR: Final = 10.0
SILENCE_S_MAX: Final = 1.0
SILENCE_S_MIN: Final = 0.1
SUSPECT_TURN_S: Final = 0.02
