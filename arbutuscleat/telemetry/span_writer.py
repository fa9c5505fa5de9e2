"""The span exporter: writes spans to a file as JSON lines."""

import json
import threading
from collections.abc import Sequence
from pathlib import Path

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult


class SpanWriter(SpanExporter):
    """Appends each finished span to a file as one line.

    Parameters
    ----------
    path : Path
        The file; its folder is created if it does not exist.
    """

    def __init__(self, path: Path):
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = path.open("a", encoding="utf-8")
        self._lock = threading.Lock()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append finished spans to the file."""
        lines = [_line(span) for span in spans]
        with self._lock:
            self._file.writelines(lines)
            self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()


def _line(span: ReadableSpan) -> str:
    context = span.get_span_context()
    content = {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }
    return json.dumps(content, separators=(",", ":")) + "\n"
