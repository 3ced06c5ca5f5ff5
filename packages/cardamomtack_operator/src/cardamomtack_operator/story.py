"""Tells from the logs of all VMs what became of a request."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from msgspec.json import Decoder

from cardamomtack.generated.logs import LogLine, RequestDecision
from cardamomtack.helpers.decoding import DECODE_ERRORS

_DECODER = Decoder(LogLine)

NOT_RUN_STATUS = 503
STATUS_GONE = 0


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Read lines of the logs of any VMs.

    What stands before the first brace is left out, and so are lines that can't be read.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield _DECODER.decode(line[start:])
        except DECODE_ERRORS:
            continue


def find_decisions(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the lines of a request, in the order of their time.

    Parameters
    ----------
    lines : iterable of str
        Lines of the logs of any VMs.
    """
    named = (line for line in lines if request_id in line)
    found = [
        line
        for line in read_lines(named)
        if line.request is not None and line.request.request_id == request_id
    ]
    return sorted(found, key=lambda line: line.time)


def tell_story(decisions: list[LogLine], request_id: str) -> list[str]:
    """Return what became of a request, in plain sentences."""
    if not decisions:
        return [
            f"No line on request {request_id}. The VM may have left it out under load "
            "(look for 'lines omitted'), ended before it wrote, or never read it."
        ]
    story: list[str] = []
    for line in decisions:
        assert line.request is not None
        story += _tell_decision(line, line.request)
    return story


def _tell_decision(line: LogLine, request: RequestDecision) -> list[str]:
    """Return the sentences on one decision."""
    whose = f" of workspace {request.workspace}" if request.workspace else ""
    prefix = f" ({request.route_prefix})" if request.route_prefix else ""
    story = [
        f"{line.time}: {line.vm_id} had request {request.request_id}{whose} of route "
        f"{request.route}{prefix}, for service {request.service}, with version "
        f"{request.version} of the configuration in force."
    ]
    age = _tell_age(request.servers_age_ms)
    configuration_age = _tell_age(request.configuration_age_ms)
    usable = (
        f"; {request.usable} of the service could get work" if request.usable else ""
    )
    story.append(
        f"The store had confirmed the configuration {configuration_age}, the servers "
        f"{age}{usable}."
    )
    if request.estimate_ms >= 0:
        story.append(
            f"The best of the {request.asked} that were asked was expected to take "
            f"{request.estimate_ms} ms; {request.objective_left_ms} ms were left of "
            "its latency objective when it came."
        )
    if request.waited_ms:
        story.append(f"It waited {request.waited_ms} ms for a server with room.")
    for number, send in enumerate(request.sends, 1):
        load = f", which had told {send.load}" if send.load else ""
        story.append(
            f"Send {number} went to {send.server_id}{load}: {send.outcome}, after "
            f"{send.duration_ms} ms."
        )
    story.append(_tell_end(request))
    return story


def _tell_end(request: RequestDecision) -> str:
    """Return the sentence on the end of a request."""
    when = f"after {request.duration_ms} ms, {request.deadline_left_ms} ms before"
    if request.status == STATUS_GONE:
        return f"The caller left {when} its deadline; the server's work was ended."
    if request.status == NOT_RUN_STATUS:
        return (
            f"It was refused with {request.status} {when} its deadline, because: "
            f"{request.reason}. It has not run."
        )
    return (
        f"The caller got {request.status} {when} its deadline, because: "
        f"{request.reason}."
    )


def _tell_age(age_ms: int) -> str:
    """Return in words how long ago something was, in milliseconds; -1 is never."""
    return "never" if age_ms < 0 else f"{age_ms} ms ago"
