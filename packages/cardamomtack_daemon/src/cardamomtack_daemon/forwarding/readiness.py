"""The answer to the readiness checks of the platform's balancer."""

from __future__ import annotations

from collections.abc import Callable

from cardamomtack_daemon.http1.messages import HttpAnswer, HttpRequest
from cardamomtack_daemon.http1.server import AnswerSource


class ReadinessHandler:
    """Tells the platform's balancer whether it should send callers here.

    Parameters
    ----------
    is_ready : callable
        Returns whether a request could be served.
    """

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def async_handle(
        self, request: HttpRequest
    ) -> tuple[HttpAnswer, AnswerSource | None]:
        """Return 200 or 503."""
        return HttpAnswer(200 if self._is_ready() else 503), None
