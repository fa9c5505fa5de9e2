"""The extent of a request agrees with what the parser takes for its end."""

import pytest

from arbutuscleat.core import ClientLimits
from arbutuscleat.web.request_extent import RequestExtent

LIMITS = ClientLimits(chunk_line_bytes=32, trailer_lines=2, framing_bytes=200)
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"

WHOLE = {
    "no body": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "a length": POST + b"Content-Length: 4\r\n\r\nbody",
    "chunks": CHUNKED + b"4\r\nbody\r\n2;a=b\r\nxy\r\n0\r\n\r\n",
    "trailers": CHUNKED + b"1\r\nb\r\n0\r\nX-A: b\r\n\r\n",
    "names in lower case": POST.lower() + b"content-length:  2 \r\n\r\n{}",
    "an empty line before": b"\r\n" + POST + b"Content-Length: 2\r\n\r\n{}",
}
REFUSED = {
    "a length that is none": POST + b"Content-Length: -1\r\n\r\n",
    "two lengths": POST + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
    "length and chunks": POST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
    "another coding": POST + b"Transfer-Encoding: gzip\r\n\r\n",
    "too long": POST + b"Content-Length: 1001\r\n\r\n",
    "a chunk too long": CHUNKED + b"3e9\r\n",
    "chunks too long": CHUNKED + b"3e8\r\n" + b"b" * 1_000 + b"\r\n1\r\n",
    "a size that is none": CHUNKED + b"-1\r\n",
    "an endless chunk line": CHUNKED + b"1;" + b"a" * 32,
    "an endless trailer": CHUNKED + b"0\r\n" + b"a" * 5_000,
    "too many trailers": CHUNKED + b"0\r\na: b\r\na: b\r\na: b\r\n",
    "too much framing": CHUNKED + b"1\r\nb\r\n" * 41,
    "a bare line feed": CHUNKED + b"1\nb\r\n",
    "a chunk longer than its size": CHUNKED + b"1\r\nbody",
    "endless headers": POST + b"a" * 4_000,
}


def make_extent(max_body=1_000):
    return RequestExtent(4_000, max_body, LIMITS)


@pytest.mark.parametrize("name", WHOLE)
def test_a_request_is_whole_with_its_last_byte(name):
    data = WHOLE[name]
    extent = make_extent()
    found = [extent.is_whole(data[:size]) for size in range(1, len(data) + 1)]
    assert found == [False] * (len(data) - 1) + [True]
    assert make_extent().is_whole(data + b"GET /")


@pytest.mark.parametrize("name", REFUSED)
def test_the_parser_goes_on_with_what_it_refuses(name):
    assert make_extent().is_whole(REFUSED[name])


def test_no_body_is_waited_for_where_none_is_taken():
    for data in (POST + b"Content-Length: 4\r\n\r\n", CHUNKED):
        assert make_extent(max_body=0).is_whole(data)


@pytest.mark.parametrize(
    ("head", "expects"),
    [
        (POST + b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n", True),
        (CHUNKED[:-2] + b"Expect: 100-Continue\r\n\r\n", True),
        (POST + b"Expect: 100-continue\r\n\r\n", False),
        (POST + b"Expect: 100-continue\r\nContent-Length: 2000\r\n\r\n", False),
        (
            b"POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n",
            False,
        ),
    ],
)
def test_a_client_that_waits_is_told_to_go_on_only_if_its_body_is_taken(head, expects):
    extent = make_extent()
    extent.is_whole(head)
    assert extent.expects_continue is expects
