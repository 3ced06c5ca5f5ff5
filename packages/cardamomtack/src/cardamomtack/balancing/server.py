"""What one VM knows of one backend server."""

from __future__ import annotations

from enum import Enum
from math import exp

from cardamomtack.balancing.const import (
    EJECTION_FAILURES,
    EJECTION_S_MAX,
    EJECTION_S_MIN,
    FAILURE_GAIN,
    LATENCY_DECAY_S,
    LATENCY_GAIN_FALL,
    LATENCY_GAIN_RISE,
    LATENCY_INITIAL_S,
    LOAD_DECAY_S,
)
from cardamomtack.generated.services import VirtualMachine


class ServerState(Enum):
    """What a backend server is ready for."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class BackendServer:
    """Load, latency and health of one backend server, as this VM sees it.

    Parameters
    ----------
    vm : VirtualMachine
        Its entry in the VM list.
    slots : int
        Requests it runs at a time.
    now_s : float
        Monotonic time, in seconds.

    Attributes
    ----------
    in_flight : int
        Requests of this VM that it has not answered yet.
    is_removed : bool
        Whether the VM list names it no longer.
    failure_share : float
        Share of recent requests that failed, from 0 to 1.
    answered_at_s : float
        Monotonic time of its last answer to this VM, in seconds.
    drain_reason : str or None
        The sign by which it was learnt that the server leaves.
    """

    __slots__ = (
        "_consecutive_failures",
        "_ejections",
        "_external_in_use",
        "_latency_at_s",
        "_latency_s",
        "_reported_at_s",
        "address",
        "answered_at_s",
        "availability_zone",
        "drain_reason",
        "ejected_until_s",
        "failure_share",
        "in_flight",
        "is_removed",
        "port",
        "ready_since_s",
        "service",
        "slots",
        "state",
        "vm_id",
    )

    def __init__(self, vm: VirtualMachine, slots: int, now_s: float) -> None:
        self.vm_id = vm.vm_id
        self.service = vm.role
        self.address = vm.address
        self.answered_at_s = 0.0
        self.port = vm.port
        self.availability_zone = vm.availability_zone
        self.slots = slots
        self.state = ServerState.READY
        self.in_flight = 0
        self.is_removed = False
        self.failure_share = 0.0
        self.drain_reason: str | None = None
        self.ejected_until_s = 0.0
        self.ready_since_s = now_s
        self._consecutive_failures = 0
        self._ejections = 0
        self._external_in_use = 0.0
        self._latency_at_s = now_s
        self._latency_s = 0.0
        self._reported_at_s = now_s

    def record_report(self, in_use: int, measured_at_s: float) -> None:
        """Take a load report; one that is older than the newest is dropped."""
        if measured_at_s < self._reported_at_s:
            return
        self._external_in_use = float(max(0, in_use - self.in_flight))
        self._reported_at_s = measured_at_s

    def estimate_busy(self, usual_external: float, now_s: float) -> float:
        """Return the slots in use, discounting the last report by its age."""
        weight = exp(-max(0.0, now_s - self._reported_at_s) / LOAD_DECAY_S)
        external = usual_external + (self._external_in_use - usual_external) * weight
        return self.in_flight + external

    def estimate_latency_s(self, usual_s: float, now_s: float) -> float:
        """Return the expected latency, which goes back to the usual one with age."""
        if self._latency_s == 0.0:
            return usual_s
        weight = exp(-max(0.0, now_s - self._latency_at_s) / LATENCY_DECAY_S)
        return usual_s + (self._latency_s - usual_s) * weight

    def record_success(self, latency_s: float, now_s: float) -> None:
        """Take the latency of an answer that was not a failure."""
        previous_s = self._latency_s or LATENCY_INITIAL_S
        gain = LATENCY_GAIN_RISE if latency_s > previous_s else LATENCY_GAIN_FALL
        first = self._latency_s == 0.0
        self._latency_s = (
            latency_s if first else (previous_s + gain * (latency_s - previous_s))
        )
        self._latency_at_s = now_s
        self.failure_share *= 1.0 - FAILURE_GAIN
        self._consecutive_failures = 0
        self._ejections = 0

    def record_failure(self, now_s: float) -> None:
        """Take a failed request; its latency is never counted as good."""
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share)
        self._consecutive_failures += 1
        if self._consecutive_failures < EJECTION_FAILURES:
            return
        self._consecutive_failures = 0
        duration_s = min(EJECTION_S_MAX, EJECTION_S_MIN * 2**self._ejections)
        self._ejections += 1
        self.ejected_until_s = now_s + duration_s

    def record_slow(self, waited_s: float, now_s: float) -> None:
        """Take the time that an unfinished request has waited so far."""
        if waited_s > self._latency_s:
            self._latency_s += LATENCY_GAIN_RISE * (waited_s - self._latency_s)
            self._latency_at_s = now_s

    @property
    def external_in_use(self) -> float:
        """Return the slots that others used at the last report."""
        return self._external_in_use

    @property
    def latency_s(self) -> float:
        """Return the smoothed latency in seconds, 0 before the first answer."""
        return self._latency_s
