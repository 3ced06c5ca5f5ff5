"""Constants of the streams between the entry VMs."""

from typing import Final

DIAL_PAUSE_S: Final = 0.5
DIAL_TIMEOUT_S: Final = 1.0
FRAME_BYTES_MAX: Final = 64 * 1024 * 1024
FRAME_LENGTH_BYTES: Final = 4
HEARTBEAT_S: Final = 2.0
HELLO_TIMEOUT_S: Final = 2.0
OUTBOX_MAX: Final = 256
SILENCE_S_MAX: Final = 5.0
