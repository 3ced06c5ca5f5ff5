"""Spans for each hop, and the traceparent that is passed on."""

from __future__ import annotations

from random import Random
from typing import IO, Protocol

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.trace import Span, SpanKind, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

SERVICE_NAME = "cardamomtackd"
SPAN_ID_BITS = 64
TRACE_ID_BITS = 128
TRACEPARENT_LENGTH = 55
TRACEPARENT_TRACE_END = 35


class HopSpan(Protocol):
    """The span of one request on this VM."""

    @property
    def traceparent(self) -> bytes:
        """The value to pass on to the backend server."""

    def finish(self, kind: str, outcome: str, server: str) -> None:
        """End the span with what became of the request."""


class Tracer(Protocol):
    """Starts spans."""

    def start_hop(self, name: str, traceparent: bytes | None) -> HopSpan:
        """Start the span of a request under the trace of its caller."""


class PropagatingSpan:
    """A span that is only passed on."""

    __slots__ = ("traceparent",)

    def __init__(self, traceparent: bytes) -> None:
        self.traceparent = traceparent

    def finish(self, kind: str, outcome: str, server: str) -> None:
        """Record nothing."""


class PropagatingTracer:
    """Passes traces on without recording spans.

    Parameters
    ----------
    random : Random
        Source of ids.
    """

    __slots__ = ("_random",)

    def __init__(self, random: Random) -> None:
        self._random = random

    def start_hop(self, name: str, traceparent: bytes | None) -> PropagatingSpan:
        """Return a span with an id of its own in the trace of the caller."""
        span_id = b"%016x" % (self._random.getrandbits(SPAN_ID_BITS) or 1)
        if traceparent is not None and len(traceparent) == TRACEPARENT_LENGTH:
            head = traceparent[:TRACEPARENT_TRACE_END]
            return PropagatingSpan(b"%b-%b-%b" % (head, span_id, traceparent[-2:]))
        trace_id = self._random.getrandbits(TRACE_ID_BITS) or 1
        return PropagatingSpan(b"00-%032x-%b-00" % (trace_id, span_id))


class RecordedSpan:
    """A span of OpenTelemetry."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: Span, traceparent: bytes) -> None:
        self._span = span
        self.traceparent = traceparent

    def finish(self, kind: str, outcome: str, server: str) -> None:
        """End the span with what became of the request."""
        span = self._span
        span.set_attribute("cardamomtack.kind", kind)
        span.set_attribute("cardamomtack.outcome", outcome)
        span.set_attribute("server.id", server)
        if outcome != "ok":
            span.set_status(StatusCode.ERROR)
        span.end()


class RecordingTracer:
    """Records spans with OpenTelemetry and writes them as JSON.

    Parameters
    ----------
    vm_id : str
        Name of this VM in the spans.
    output : file
        Where the spans are written, owned by the caller.
    """

    __slots__ = ("_propagator", "_provider", "_tracer")

    def __init__(self, vm_id: str, output: IO[str]) -> None:
        resource = Resource.create({"service.name": SERVICE_NAME, "host.id": vm_id})
        exporter = ConsoleSpanExporter(
            out=output, formatter=lambda span: span.to_json(indent=None) + "\n"
        )
        self._provider = TracerProvider(resource=resource)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer(SERVICE_NAME)
        self._propagator = TraceContextTextMapPropagator()

    def start_hop(self, name: str, traceparent: bytes | None) -> RecordedSpan:
        """Start a span under the trace of the caller."""
        carrier = {"traceparent": traceparent.decode("latin-1")} if traceparent else {}
        context = self._propagator.extract(carrier)
        span = self._tracer.start_span(name, context=context, kind=SpanKind.SERVER)
        ids = span.get_span_context()
        value = f"00-{ids.trace_id:032x}-{ids.span_id:016x}-{ids.trace_flags:02x}"
        return RecordedSpan(span, value.encode())

    def shut_down(self) -> None:
        """Write the spans that are still buffered."""
        self._provider.shutdown()
