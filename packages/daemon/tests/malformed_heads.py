"""Heads of answers that break the grammar of RFC 9112, and some that keep it."""

OK = b"HTTP/1.1 200 OK\r\n"
#: Behind it, ``BODY`` is the body by any reading of the head.
LENGTH = b"Content-Length: 4\r\n"
BODY = b"true"
END = b"\r\n"


def make_head(line: bytes) -> bytes:
    """Return a head with a line between two that are sound."""
    return OK + b"A: b\r\n" + line + LENGTH + END


def make_status(line: bytes) -> bytes:
    """Return a head that begins with a line."""
    return line + b"\r\n" + LENGTH + END


MALFORMED = {
    "status 000": make_status(b"HTTP/1.1 000 OK"),
    "status 099": make_status(b"HTTP/1.1 099 OK"),
    "status 600": make_status(b"HTTP/1.1 600 OK"),
    "status 999": make_status(b"HTTP/1.1 999 OK"),
    "status of two digits": make_status(b"HTTP/1.1 20 OK"),
    "status of four digits": make_status(b"HTTP/1.1 2000 OK"),
    "signed status": make_status(b"HTTP/1.1 +20 OK"),
    "another protocol": make_status(b"HTTP/2.0 200 OK"),
    "protocols switched": make_status(b"HTTP/1.1 101 Switching Protocols"),
    "control byte in the reason": make_status(b"HTTP/1.1 200 O\x01K"),
    "blank line first": END + OK + LENGTH + END,
    "name with a blank inside": make_head(b"B c: d\r\n"),
    "name with a blank at its end": make_head(b"B : d\r\n"),
    "name with a control byte": make_head(b"B\x01: d\r\n"),
    "name with a tab": make_head(b"B\t: d\r\n"),
    "name outside ASCII": make_head(b"B\xe9: d\r\n"),
    "no name": make_head(b": d\r\n"),
    "no colon": make_head(b"B d\r\n"),
    "line that begins with a blank": make_head(b" c\r\n"),
    "line that begins with a tab": make_head(b"\tc\r\n"),
    "length in a line that begins with a blank": OK
    + b"A: b\r\n Content-Length: 4\r\n\r\n",
    "control byte in a value": make_head(b"B: c\x01d\r\n"),
    "escape in a value": make_head(b"B: c\x1bd\r\n"),
    "delete in a value": make_head(b"B: c\x7fd\r\n"),
    "NUL in a value": make_head(b"B: c\x00d\r\n"),
    "CR in a value": make_head(b"B: c\rd\r\n"),
    "LF in a value": make_head(b"B: c\nd\r\n"),
    "lines that end with LF": b"HTTP/1.1 200 OK\nContent-Length: 4\n\n",
    "signed length": OK + b"Content-Length: +4\r\n\r\n",
    "negative length": OK + b"Content-Length: -4\r\n\r\n",
    "length without digits": OK + b"Content-Length: \r\n\r\n",
    "length of 5,000 digits": OK + b"Content-Length: " + b"4" * 5000 + b"\r\n\r\n",
    "two lengths": OK + LENGTH + b"Content-Length: 5\r\n\r\n",
    "length and chunks": OK + b"Transfer-Encoding: chunked\r\n" + LENGTH + END,
    "unknown coding": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "chunks in HTTP/1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "malformed interim answer": b"HTTP/1.1 100 Go on\r\nB : c\r\n\r\n" + make_head(b""),
}
SOUND = {
    "without a reason": make_status(b"HTTP/1.1 200"),
    "with an empty reason": make_status(b"HTTP/1.1 200 "),
    "reason outside ASCII": make_status(b"HTTP/1.1 200 d\xc3\xa9j\xc3\xa0"),
    "HTTP/1.0": make_status(b"HTTP/1.0 200 OK"),
    "behind interim answers": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n"
    b"Link: x\r\n\r\n" + make_head(b""),
    "all bytes of a name": make_head(b"!#$%&'*+-.^_`|~09AZaz: d\r\n"),
    "blanks around a value": make_head(b"B: \t c  d \t\r\n"),
    "empty value": make_head(b"B:\r\n"),
    "value outside ASCII": make_head(b"B: \xc3\xa9\r\n"),
    "same length twice": OK + LENGTH + LENGTH + END,
    "list of the same length": OK + b"Content-Length: 4, 4\r\n\r\n",
    "long": make_head(b"B: " + b"c" * 30_000 + b"\r\n"),
}
