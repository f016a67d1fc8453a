"""Strategies for valid HTTP/1.1 requests, in the forms that RFC 9110 and 9112 allow."""

from typing import NamedTuple

from hypothesis import strategies

TOKEN_CHARACTERS = (
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
RESERVED_NAMES = frozenset({"id", "key", "n", "target", "deadline"})
"""Names after "X-" that have a meaning for instances and targets."""
PATH_CHARACTERS = "abcXYZ019-._~!$&'()*+,;=:@/"
HOP_BY_HOP_OPTIONS = (
    b"close",
    b"keep-alive",
    b"Keep-Alive, X-Hop",
    b"x-hop",
    b", ,X-Hop ,",
    b"",
)


class WrittenRequest(NamedTuple):
    """A request as its caller sends it."""

    content: bytes
    body: bytes
    expects_continue: bool


@strategies.composite
def build_headers(draw) -> list[bytes]:
    """Return header lines that may occur in any request, some of them repeatedly."""
    names = strategies.text(TOKEN_CHARACTERS, min_size=1, max_size=12).filter(
        lambda name: name.lower() not in RESERVED_NAMES
    )
    # Printable characters and bytes over 127 (obs-text), and white space between.
    values = strategies.text(
        strategies.sampled_from(
            "\t " + "".join(map(chr, range(33, 127))) + "\x80\xa0\xff"
        ),
        max_size=30,
    )
    lines = [
        f"X-{name}:{value}".encode("latin-1")
        for name, value in draw(
            strategies.lists(strategies.tuples(names, values), max_size=6)
        )
    ]
    for option in draw(
        strategies.lists(strategies.sampled_from(HOP_BY_HOP_OPTIONS), max_size=3)
    ):
        lines.append(b"Connection: " + option)
    lines += draw(
        strategies.lists(
            strategies.sampled_from(
                [
                    b"X-Hop: 1",
                    b"TE: trailers",
                    b"Accept:",
                    b"Cookie: a=b; c=\xe4",
                    b"X-Deadline: 1000",
                    b"Keep-Alive: timeout=5",
                    b"Upgrade: h2c",
                    b"Trailer: X-T",
                ]
            ),
            max_size=4,
            unique=True,
        )
    )
    return lines


@strategies.composite
def build_body(draw, body: bytes) -> tuple[list[bytes], bytes]:
    """Return the framing headers of a body, and the body as it is sent."""
    form = draw(strategies.sampled_from(["length", "two lengths", "list", "chunks"]))
    length = b"%d" % len(body)
    if form != "chunks":
        lines = {
            "length": [b"Content-Length: " + length],
            "two lengths": [b"Content-Length: " + length] * 2,
            "list": [b"content-length:%b, %b" % (length, length)],
        }
        return lines[form], body
    size = draw(strategies.integers(1, max(1, len(body))))
    extension = draw(strategies.sampled_from([b"", b";a=b", b';a="b c"', b";a"]))
    trailer = draw(strategies.sampled_from([b"", b"X-T: 1\r\n"]))
    number = draw(strategies.sampled_from([b"%x", b"%X", b"00%x"]))
    pieces = []
    for position in range(0, len(body), size):
        piece = body[position : position + size]
        pieces += [number % len(piece), extension, b"\r\n", piece, b"\r\n"]
    coding = draw(strategies.sampled_from([b"chunked", b"Chunked"]))
    encoded = b"".join(pieces) + b"0" + extension + b"\r\n" + trailer + b"\r\n"
    return [b"Transfer-Encoding: " + coding], encoded


@strategies.composite
def build_request(draw) -> WrittenRequest:
    """Return a valid request for the route "/a/" of the host "h.example"."""
    method = draw(
        strategies.sampled_from(
            [b"GET", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"get", b"M-SEARCH"]
        )
    )
    path = b"/a/" + draw(strategies.text(PATH_CHARACTERS, max_size=20)).encode()
    path += draw(strategies.sampled_from([b"", b"?", b"?q=/b/c&d=%2F", b"%20%C3%A4"]))
    host = draw(strategies.sampled_from([b"h.example", b"H.Example", b"h.example:80"]))
    form = draw(strategies.sampled_from([b"", b"", b"http://" + host]))
    lines = [draw(strategies.sampled_from([b"Host: ", b"host:", b"HOST:\t "])) + host]
    lines += [b"X-Id: id-1", b"X-Key: 7"]
    lines += draw(build_headers())
    body = draw(strategies.binary(max_size=40)) * draw(
        strategies.sampled_from([0, 1, 1, 2_000, 4_000])
    )
    expects_continue = False
    if body or draw(strategies.booleans()):
        framing, encoded = draw(build_body(body))
        lines += framing
        expects_continue = bool(body) and draw(strategies.booleans())
        if expects_continue:
            lines.append(b"Expect: 100-continue")
    else:
        encoded = b""
    lines = draw(strategies.permutations(lines))
    head = b"\r\n".join([method + b" " + form + path + b" HTTP/1.1", *lines])
    return WrittenRequest(
        head + b"\r\n\r\n" + encoded, body if encoded else b"", expects_continue
    )
