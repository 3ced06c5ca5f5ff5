"""Constants of the tasks of the replicas."""

from typing import Final

ANSWER_DUE_S: Final = 0.3
"""After how long without an answer a read tells that the store may be away."""

ASK_PAUSE_S: Final = 1.0
"""How often a VM that knows nothing fresh asks another one."""

BACKOFF_S_MAX: Final = 2.5
BACKOFF_S_MIN: Final = 0.15
BATCH_S: Final = 0.2
CONFIRM_DUE_S: Final = 0.3
"""Age of what a late answer proves from which the next read asks without waiting."""

DIAL_PAUSE_S: Final = 0.2
DIAL_TIMEOUT_S: Final = 0.6
FRESHNESS_GAP_S: Final = 0.05
FRESHNESS_S: Final = 0.5
LISTED_WAIT_S: Final = 0.1
"""For how long a VM that starts waits for the list of the others."""

NEED_CHECK_S: Final = 0.2
OUTBOX_MAX: Final = 512
POLL_WAIT_S: Final = 1.0
READER_BACKOFF_S_MAX: Final = 0.6
READER_TIMEOUT_S_MAX: Final = 1.2
"""Bounds how long after an outage a reader still waits for an answer of before."""

READ_TIMEOUT_S: Final = 0.8
READ_TIMEOUT_S_MAX: Final = 4.0
SILENCE_S_MAX: Final = 1.1
SLACK_S_MAX: Final = 0.3
"""Most by which a stream may make what it tells look older."""

SLACK_TRIAL_S: Final = 2.0
START_QUERY_S: Final = 0.08
"""For how long a VM that starts waits for others before it reads the store itself."""

START_QUERY_S_MAX: Final = 0.5
"""The same while another VM is telling it, or has not told how fresh that is."""

START_QUERY_TURN_S: Final = 0.02
"""After how long without an answer the next VM is asked beside the last one."""

START_QUERY_VMS_MAX: Final = 3
SUBSCRIBE_TIMEOUT_S: Final = 2.0
