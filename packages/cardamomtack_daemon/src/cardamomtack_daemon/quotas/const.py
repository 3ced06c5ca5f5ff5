"""Constants of the tasks of quotas."""

from typing import Final

ASK_TIMEOUT_S: Final = 0.1
"""For how long a request waits for the holder."""

BACKOFF_S_MAX: Final = 1.0
BACKOFF_S_MIN: Final = 0.1
CLAIM_CHECK_S: Final = 0.1
CLAIM_TIMEOUT_S: Final = 0.3
CONNECTIONS_MAX: Final = 600
"""Streams of other VMs and claims, as many as a VM has descriptors to spare."""

COUNT_MAX: Final = 2000
"""Requests of a workspace for which one message may ask."""

DIAL_TIMEOUT_S: Final = 0.5
FALLBACK_RETRY_S: Final = 1.0
"""Longest retry time that the fallback gives a caller."""

FRAME_BYTES_MAX: Final = 1_048_576
HOLDERS_MAX: Final = 256
HOPS_MAX: Final = 2
"""How many other VMs a request is referred to before it waits."""

LINK_IDLE_S: Final = 60.0
LOG_S: Final = 10.0
MAINTENANCE_S: Final = 1.0
METERS_MAX: Final = 2000
QUOTA_KEY_BYTES: Final = 4
"""Part of the digest of a request by which its caller is known when it comes back."""

REFER_PAUSE_S: Final = 0.02
"""Pause while VMs disagree on who holds a workspace."""

RETURN_S_MAX: Final = 0.5
"""Age up to which a token is given back; the bucket may have been full since."""

RETRY_S_MAX: Final = 3600.0
SILENCE_S_MAX: Final = 1.0
"""After how long without an answer a stream is closed."""

STREAM_IDLE_S: Final = 120.0
UNDECIDED_S: Final = 0.25
"""For how long requests of a workspace go to the fallback without waiting, after VMs
have disagreed on its holder."""

WANTS_MAX: Final = 2000
"""Workspaces in one message."""
