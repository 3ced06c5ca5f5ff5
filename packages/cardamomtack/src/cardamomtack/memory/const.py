"""Constants of the memory area."""

from typing import Final

BODIES_SHARE: Final = 0.25
"""Share of the memory for the bodies of all requests."""

HEADS_SHARE: Final = 0.1
"""Share of the memory for large heads, and for requests that wait behind another."""

RESPONSES_SHARE: Final = 0.2
"""Share of the memory for the responses that wait for their readers."""

BUFFERED_SHARE: Final = 0.5
"""Part of the share up to which long responses are held until they are whole."""

EXCESS_FACTOR: Final = 1.25
"""Use of the share from which a slow reader is closed without delay."""

READER_GRACE_S: Final = 0.5
"""Time of waiting from which a reader is compared with the others."""

DESCRIPTORS_RESERVED: Final = 200
"""Descriptors that the platform keeps for files."""

CALLERS_SHARE: Final = 0.3
"""Share of the other descriptors for callers; as many serve their requests."""

IDLE_SERVERS_SHARE: Final = 0.2
TUNNELS_SHARE: Final = 0.05
"""Share for tunnels, each of which takes two descriptors."""

CALLERS_MAX: Final = 3000
IDLE_SERVERS_MAX: Final = 2000
TUNNELS_MAX: Final = 600
