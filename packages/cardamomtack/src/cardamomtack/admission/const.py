"""Constants of the admission area."""

from typing import Final

EXTRA_ATTEMPTS_BURST: Final = 10.0
EXTRA_ATTEMPTS_PER_S_MIN: Final = 2.0
LIMIT_DECREASE: Final = 0.9
LIMIT_DECREASE_PAUSE_S: Final = 0.1
LIMIT_INCREASE: Final = 1.0
LIMIT_INITIAL: Final = 64.0
LIMIT_MAX: Final = 4096.0
LIMIT_MIN: Final = 2.0
SERVICE_TIME_GAIN: Final = 0.05
