"""Tracing: one span for each hop, linked by W3C trace context."""

import random
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import NonRecordingSpan, Span, SpanContext, TraceFlags
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .span_writer import SpanWriter

TRACEPARENT = "traceparent"

_PROPAGATOR = TraceContextTextMapPropagator()


class Tracing:
    """Starts spans and propagates their context between processes.

    Most traces of a busy process are not sampled.  Whether a trace is sampled is
    decided once, where it starts.  An unsampled trace costs almost nothing after
    that, yet it has an id, which logs and answers contain.

    Parameters
    ----------
    node_id : str
        Identity of this process.
    file : Path or None
        The file to which finished spans are written; None records no spans.
    sample_ratio : float
        Share of new traces that are sampled.  The decision of a caller is respected.
    rng : random.Random
        Source of the ids of unsampled spans and of the sampling decision.
    """

    def __init__(
        self,
        node_id: str,
        file: Path | None,
        sample_ratio: float,
        rng: random.Random,
    ):
        self._provider = TracerProvider(
            sampler=ALWAYS_ON,
            resource=Resource({"service.name": "arbutuscleat", "node": node_id}),
            shutdown_on_exit=False,
        )
        if file is not None:
            self._provider.add_span_processor(BatchSpanProcessor(SpanWriter(file)))
        self._is_recording = file is not None
        self._sample_ratio = sample_ratio
        self._rng = rng
        self._tracer = self._provider.get_tracer("arbutuscleat")

    @contextmanager
    def span(self, name: str, traceparent: str = "") -> Iterator[Span]:
        """Run a block inside a span.

        Parameters
        ----------
        name : str
            Name of the span.
        traceparent : str
            Trace context of the parent span as a header value; if empty, the parent
            is the current span.

        Returns
        -------
        context manager
            Yields the span.
        """
        context = None
        current = trace.get_current_span()
        if traceparent:
            context = _PROPAGATOR.extract({TRACEPARENT: traceparent})
            current = trace.get_current_span(context)
        if self._is_sampled(current.get_span_context()):
            with self._tracer.start_as_current_span(name, context=context) as span:
                yield span
        elif current.get_span_context().is_valid and not traceparent:
            yield current
        else:
            with trace.use_span(
                self._unsampled_span(current.get_span_context())
            ) as span:
                yield span

    def stop(self) -> None:
        """Write the remaining finished spans and stop."""
        self._provider.shutdown()

    def _is_sampled(self, parent: SpanContext) -> bool:
        if not self._is_recording:
            return False
        if parent.is_valid:
            return parent.trace_flags.sampled
        return self._rng.random() < self._sample_ratio

    def _unsampled_span(self, parent: SpanContext) -> NonRecordingSpan:
        """Return a span that is not recorded, in the trace of `parent` or a new one."""
        return NonRecordingSpan(
            SpanContext(
                trace_id=parent.trace_id or self._rng.getrandbits(128) | 1,
                span_id=self._rng.getrandbits(64) | 1,
                is_remote=False,
                trace_flags=TraceFlags(TraceFlags.DEFAULT),
            )
        )


def current_traceparent() -> str:
    """Return the trace context of the current span as a header value.

    The value is empty if there is no current span.
    """
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, "")


def current_trace_id() -> str:
    """Return the id of the current trace as 32 hexadecimal digits.

    The id is empty if there is no current span.
    """
    context = trace.get_current_span().get_span_context()
    return f"{context.trace_id:032x}" if context.is_valid else ""
