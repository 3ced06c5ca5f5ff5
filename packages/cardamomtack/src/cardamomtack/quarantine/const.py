"""Constants of the quarantine area."""

from typing import Final

ANSWERED_KEPT: Final = 4096
INNOCENT_S: Final = 30.0
QUARANTINE_CRASHES: Final = 2
QUARANTINE_S: Final = 600.0
SUSPECTS_MAX: Final = 10_000
SUSPICION_S: Final = 120.0
