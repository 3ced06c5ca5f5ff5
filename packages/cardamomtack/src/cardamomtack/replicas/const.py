"""Constants of the replicas area."""

from typing import Final

DEAD_S_MAX: Final = 60.0
DEAD_S_MIN: Final = 1.0
READERS: Final = 2
STALE_AFTER_S: Final = 1.5
"""Age of the last confirmation after which a VM reads the store for itself."""

TOPIC_CONFIGURATION: Final = "configuration"
TOPIC_SERVERS: Final = "servers"
VMS_PER_RELAY: Final = 16
