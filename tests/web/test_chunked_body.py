"""The reader of chunked bodies, over the grammar of HTTP/1.1 and bytes cut anywhere."""

import io

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutuscleat.core import ClientLimits
from arbutuscleat.web.chunked_body import ChunkedBody, FramingError, TooLargeError

MAX_BODY = 64
LIMITS = ClientLimits(chunk_line_bytes=24, trailer_lines=2, framing_bytes=120)
NEXT = b"GET / HTTP/1.1\r\n\r\n"
MOST_TAKEN = MAX_BODY + LIMITS.framing_bytes + 4_096 + 4
"""Body, framing, and one line that is found to be too long."""

sizes = st.one_of(
    st.integers(0, 80).map(lambda n: b"%x" % n),
    st.integers(0, 80).map(lambda n: b"%04X" % n),
    st.sampled_from([b"", b"-1", b"+1", b"1_0", b"0x1", b" 1", b"1 ", b"f" * 17, b"g"]),
)
extensions = st.sampled_from([b"", b";a", b"; a=b", b';a="b"', b";" + b"a" * 40])
ends = st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r", b""])
chunks = st.tuples(sizes, extensions, ends, st.binary(max_size=80), ends)
trailers = st.lists(st.sampled_from([b"A: b\r\n", b"A: b\n", b"\r\n"]), max_size=4)


class CutReader(io.RawIOBase):
    """Returns the bytes in pieces of the given sizes, and then one by one."""

    def __init__(self, data, pieces):
        super().__init__()
        self.data = data
        self.position = 0
        self.pieces = list(pieces)

    def readable(self):
        return True

    def readinto(self, buffer):
        size = self.pieces.pop() if self.pieces else 1
        piece = self.data[self.position : self.position + min(size, len(buffer))]
        buffer[: len(piece)] = piece
        self.position += len(piece)
        return len(piece)


def read(data, pieces=()):
    """Return the body or the kind of error, and how many bytes were taken."""
    reader = io.BufferedReader(CutReader(data, pieces), 1)
    body = ChunkedBody(reader, MAX_BODY, LIMITS)
    try:
        found = body.read()
    except (FramingError, TooLargeError) as exc:
        found = type(exc)
        assert body.remaining
    return found, reader.tell() if found.__class__ is bytes else None


def encode(parts, last):
    return b"".join(
        size + extension + end + data + data_end
        for size, extension, end, data, data_end in parts
    ) + b"".join(last)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(chunks, max_size=5),
    trailers,
    st.lists(st.integers(1, 40), max_size=8),
    st.integers(0, 300),
)
def test_any_bytes_end_in_a_body_or_an_error_within_the_limits(
    parts, last, pieces, cut
):
    data = encode(parts, [b"0\r\n", *last, b"\r\n"])
    for sent in (data, data[:cut]):
        reader = CutReader(sent + b"b" * 10_000, pieces)
        try:
            body = ChunkedBody(io.BufferedReader(reader, 1), MAX_BODY, LIMITS).read()
            assert len(body) <= MAX_BODY
        except (FramingError, TooLargeError):
            pass
        assert reader.position <= MOST_TAKEN


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=12), max_size=5),
    st.sampled_from([b"", b";a", b"; a=b"]),
    st.sampled_from([[], [b"A: b\r\n"], [b"A: b\r\n", b"C: d\r\n"]]),
    st.lists(st.integers(1, 40), max_size=8),
)
def test_a_body_within_the_limits_is_read_whole_and_nothing_after_it(
    parts, extension, last, pieces
):
    data = b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in parts)
    data += b"0\r\n" + b"".join(last) + b"\r\n"
    reader = io.BufferedReader(CutReader(data + NEXT, pieces), 1)
    body = ChunkedBody(reader, MAX_BODY, LIMITS)
    assert body.read() == b"".join(parts)
    assert body.remaining == 0
    assert reader.read() == NEXT
    for cut in range(len(data)):
        assert read(data[:cut], pieces)[0] is FramingError


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"-1\r\n", FramingError),
        (b"+1\r\na\r\n0\r\n\r\n", FramingError),
        (b"1_0\r\n", FramingError),
        (b"0x1\r\n", FramingError),
        (b"\r\n", FramingError),
        (b"1\na\r\n0\r\n\r\n", FramingError),
        (b"1\r\nab\r\n0\r\n\r\n", FramingError),
        (b"1;" + b"a" * 30 + b"\r\n", TooLargeError),
        (b"41\r\n" + b"a" * 65, TooLargeError),
        (b"fffffffffffffff\r\n", TooLargeError),
        (b"1\r\na\r\n" * 30, TooLargeError),
        (b"0\r\nA: b\r\nC: d\r\nE: f\r\n\r\n", TooLargeError),
        (b"0\r\nA: " + b"b" * 5_000 + b"\r\n\r\n", TooLargeError),
    ],
)
def test_errors(data, error):
    assert read(data)[0] is error
