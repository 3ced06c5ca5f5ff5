"""Constants of the tunnels area."""

from typing import Final

CHUNK_LENGTH_BYTES: Final = 4
CLOSE_TIMEOUT_S: Final = 1.0
"""For how long a peer may take the last bytes of a connection that has ended."""

CONNECT_TIMEOUT_S: Final = 0.25
HELPERS_ASKED_MAX: Final = 3
LENGTH_END: Final = 0
"""Length of the chunk that tells that the server has ended the connection cleanly."""

LENGTH_LEAVING: Final = 0xFFFFFFFF
"""Length of the chunk that tells that the VM leaves, after which nothing new begins."""

OPEN_TIMEOUT_S: Final = 0.4
"""Bounds the time until another VM has told whether it has a connection."""

OUTCOME_CUT: Final = "cut"
OUTCOME_EVACUATED: Final = "evacuated"
OUTCOME_OPEN: Final = "open"
OUTCOME_REFUSED: Final = "refused"
OUTCOME_UNREACHABLE: Final = "unreachable"
REQUEST_TIMEOUT_S: Final = 2.0
TEST_SERVERS_MAX: Final = 2
"""Servers that are tried to find out whether the own way is sound."""

TEST_TIMEOUT_S: Final = 0.1
"""Bounds a test of the own way; another VM waits for its result meanwhile."""

TEST_VALID_S: Final = 0.25
TRIAL_CHECK_S: Final = 0.1
