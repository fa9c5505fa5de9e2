"""Tracing: one span for each hop, joined by W3C trace context."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .span_writer import SpanWriter

TRACEPARENT = "traceparent"

_PROPAGATOR = TraceContextTextMapPropagator()


class Tracing:
    """Starts spans and carries their context between processes.

    Parameters
    ----------
    node_id : str
        Identity of this process.
    file : Path or None
        Where finished spans go; None keeps none.
    sample_ratio : float
        Share of new traces that is kept; a caller's decision is respected.
    """

    def __init__(
        self, node_id: str, file: Path | None = None, sample_ratio: float = 1.0
    ):
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(sample_ratio if file else 0.0)),
            resource=Resource({"service.name": "arbutuscleat", "node": node_id}),
            shutdown_on_exit=False,
        )
        if file is not None:
            self._provider.add_span_processor(BatchSpanProcessor(SpanWriter(file)))
        self._tracer = self._provider.get_tracer("arbutuscleat")

    @contextmanager
    def span(self, name: str, traceparent: str = "") -> Iterator[Span]:
        """Run a block inside a span, below `traceparent` when one is given."""
        context = None
        if traceparent:
            context = _PROPAGATOR.extract({TRACEPARENT: traceparent})
        with self._tracer.start_as_current_span(name, context=context) as span:
            yield span

    def stop(self) -> None:
        """Write what is left and stop."""
        self._provider.shutdown()


def current_traceparent() -> str:
    """Return the trace context of the current span, as the header's value."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, "")


def current_trace_id() -> str:
    """Return the id of the current trace as 32 hexadecimal digits."""
    context = trace.get_current_span().get_span_context()
    return f"{context.trace_id:032x}" if context.is_valid else ""
