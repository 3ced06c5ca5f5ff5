"""Constants of the daemon."""

from typing import Final

HEADER_DEADLINE_MS: Final = b"deadline-ms"
HEADER_IDEMPOTENCY_KEY: Final = b"idempotency-key"
HEADER_LOAD_METRICS: Final = b"endpoint-load-metrics"
HEADER_OUTCOME: Final = b"cardamomtack-outcome"
HEADER_REQUEST_ID: Final = b"cardamomtack-request-id"
HEADER_TRACEPARENT: Final = b"traceparent"
ROLE_ENTRY: Final = "entry"
