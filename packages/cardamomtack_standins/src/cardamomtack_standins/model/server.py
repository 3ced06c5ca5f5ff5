"""A modelled backend server: slots, a queue, neighbours that take its speed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from random import Random

from cardamomtack.placing.server import LoadReport


@dataclass(slots=True, frozen=True)
class ServerTraits:
    """How a modelled server behaves.

    Attributes
    ----------
    queue_max : int
        Requests that may wait; more are refused without running.
    noise_share : float
        Part of the time in which neighbours take its speed.
    noise_factor : float
        How many times as long work takes then.
    noise_s : float
        How long one level of speed lasts, in seconds.
    full_share, full_factor : float
        Share of busy slots beyond which work takes so many times as long.
    keeps_speed : bool
        Whether a request keeps the speed with which it began.
    rejected_share : float
        Share of the requests that it rejects although it has capacity.
    """

    slots: int
    queue_max: int
    noise_share: float = 0.25
    noise_factor: float = 4.0
    noise_s: float = 0.3
    full_share: float = 0.8
    full_factor: float = 1.7
    keeps_speed: bool = True
    rejected_share: float = 0.0


class Job:
    """The work of one request at a server.

    Attributes
    ----------
    left_s : float
        What is left of it on an idle server, in seconds.
    kept_factor : float or None
        How many times as long it takes, where it keeps the speed of its start.
    """

    __slots__ = ("kept_factor", "left_s", "request")

    def __init__(self, request: int, work_s: float) -> None:
        self.kept_factor: float | None = None
        self.left_s = work_s
        self.request = request


class ModelServer:
    """One server, whose running work goes on at a speed that shifts.

    Parameters
    ----------
    server_id, availability_zone : str
        Its names.
    traits : ServerTraits
        How it behaves.
    random : Random
        Source of its noise.
    """

    __slots__ = (
        "_random",
        "_updated_at_s",
        "availability_zone",
        "running",
        "server_id",
        "slowness",
        "traits",
        "waiting",
    )

    def __init__(
        self,
        server_id: str,
        availability_zone: str,
        traits: ServerTraits,
        random: Random,
    ) -> None:
        self._random = random
        self._updated_at_s = 0.0
        self.availability_zone = availability_zone
        self.running: list[Job] = []
        self.server_id = server_id
        self.slowness = 1.0
        self.traits = traits
        self.waiting: deque[Job] = deque()

    @property
    def factor(self) -> float:
        """Return how many times as long as on an idle server work takes now."""
        traits = self.traits
        is_nearly_full = len(self.running) > traits.full_share * traits.slots
        return self.slowness * (traits.full_factor if is_nearly_full else 1.0)

    def write_report(self) -> LoadReport:
        """Return the load that the server tells."""
        return LoadReport(
            len(self.running), len(self.waiting), self.traits.slots, self.slowness
        )

    def write_answer_report(self) -> LoadReport:
        """Return the load that an answer tells, which counts its own request.

        The job of the request has been taken out before.
        """
        report = self.write_report()
        return replace(report, running=report.running + 1)

    def shift_speed(self, now_s: float) -> None:
        """Draw the speed of the next while."""
        self.advance(now_s)
        is_noisy = self._random.random() < self.traits.noise_share
        self.slowness = self.traits.noise_factor if is_noisy else 1.0

    def add_job(self, job: Job, now_s: float) -> bool:
        """Take a job and return whether there was room."""
        self.advance(now_s)
        rejected_share = self.traits.rejected_share
        if rejected_share and self._random.random() < rejected_share:
            return False
        if len(self.running) < self.traits.slots:
            self._start(job)
            return True
        if len(self.waiting) >= self.traits.queue_max:
            return False
        self.waiting.append(job)
        return True

    def advance(self, now_s: float) -> None:
        """Let the running work go on until a time before which nothing finishes."""
        elapsed_s = now_s - self._updated_at_s
        self._updated_at_s = now_s
        for job in self.running:
            job.left_s -= elapsed_s / self._find_factor(job)

    def find_finish_s(self) -> float | None:
        """Return when the next job finishes at the speed of now, or None."""
        if not self.running:
            return None
        left_s = min(job.left_s * self._find_factor(job) for job in self.running)
        return self._updated_at_s + max(0.0, left_s)

    def finish_job(self, now_s: float) -> Job:
        """Take out the job that has finished and start one that waits."""
        self.advance(now_s)
        job = min(self.running, key=lambda one: one.left_s * self._find_factor(one))
        self.running.remove(job)
        if self.waiting:
            self._start(self.waiting.popleft())
        return job

    def _start(self, job: Job) -> None:
        """Let a job run."""
        self.running.append(job)
        if self.traits.keeps_speed:
            job.kept_factor = self.factor

    def _find_factor(self, job: Job) -> float:
        """Return how many times as long as on an idle server a job takes."""
        return self.factor if job.kept_factor is None else job.kept_factor
