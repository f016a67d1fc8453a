"""Encoding of the frames between entry processes (`wire.capnp`).

A small request or answer is sent as one frame with its whole body.
"""

import datetime
import pathlib
from typing import Any, NamedTuple

import capnp

from dewstep_core import data
from dewstep_entry.peers import messages

PROTOCOL_VERSION = 2
MAXIMUM_FRAME_BYTES = 4_194_304
LENGTH_PREFIX_BYTES = 4
MAXIMUM_REMAINING_MILLISECONDS = 2**32 - 1

schema = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))
_Frame = schema.Frame
_MILLISECOND = datetime.timedelta(milliseconds=1)


class RequestHead(NamedTuple):
    """Start of a request; its `deadline` is the remaining time."""

    stream: int
    request: data.Request
    complete: bool
    """Whether the body is complete in this frame."""


class AnswerHead(NamedTuple):
    """Start of an answer."""

    stream: int
    answer: data.Answer
    complete: bool
    """Whether the body is complete in this frame."""


class Chunk(NamedTuple):
    """Part of a body."""

    stream: int
    payload: bytes


class End(NamedTuple):
    """End of a body, with the failure that ended it early, if any."""

    stream: int
    failure: str = ""
    detail: str = ""


class Cancel(NamedTuple):
    """The sender of the request no longer needs the answer."""

    stream: int


class Credit(NamedTuple):
    """Additional bytes of a body that the peer may send."""

    stream: int
    size: int


class FrameInvalid(NamedTuple):
    """A frame that cannot be decoded; the connection must be closed."""

    detail: str


def encode(frame: Any) -> bytes:
    """Encode a NamedTuple of this module or of `messages`, with its length prefix."""
    message = _Frame.new_message()
    _ENCODERS[type(frame)](message, frame)
    encoded = message.to_bytes()
    return len(encoded).to_bytes(LENGTH_PREFIX_BYTES, "big") + encoded


def decode(encoded: bytes) -> Any:
    """Decode a frame without length prefix, or return `FrameInvalid`."""
    try:
        with _Frame.from_bytes(encoded) as message:
            kind = message.which
            decoder = _DECODERS.get(str(kind))
            if decoder is None:
                return FrameInvalid(f"unknown frame kind {kind}")
            return decoder(message)
    except (capnp.KjException, ValueError, OverflowError) as error:
        return FrameInvalid(str(error).splitlines()[0])


def split_frames(buffer: bytearray) -> list[bytes] | FrameInvalid:
    """Remove the complete frames from `buffer` and return them without prefixes."""
    frames = []
    position, size = 0, len(buffer)
    while size - position >= LENGTH_PREFIX_BYTES:
        start = position + LENGTH_PREFIX_BYTES
        length = int.from_bytes(buffer[position:start], "big")
        if length > MAXIMUM_FRAME_BYTES:
            return FrameInvalid(
                f"frame of {length} bytes exceeds {MAXIMUM_FRAME_BYTES}"
            )
        if size - start < length:
            break
        position = start + length
        frames.append(bytes(memoryview(buffer)[start:position]))
    if position:
        del buffer[:position]
    return frames


def pack_headers(headers: data.Headers) -> bytes:
    """Join headers with line feeds; h11 has checked that they contain none."""
    return b"\n".join([part for header in headers for part in header])


def unpack_headers(packed: bytes) -> data.Headers:
    """Split the result of `pack_headers`."""
    if not packed:
        return ()
    parts = packed.split(b"\n")
    return tuple(zip(parts[::2], parts[1::2], strict=True))


def _encode_request(message, frame: RequestHead) -> None:
    message.stream = frame.stream
    request = frame.request
    head = message.init("request")
    head.service = request.service
    head.kind = request.kind
    head.key = request.key
    head.requestId = request.request_id
    head.generatedId = request.generated_id
    head.method = request.method
    head.path = request.path
    head.headers = pack_headers(request.headers)
    head.bodyLength = -1 if request.body_length is None else request.body_length
    remaining = int(request.deadline / _MILLISECOND)
    head.remainingMilliseconds = min(max(remaining, 0), MAXIMUM_REMAINING_MILLISECONDS)
    if request.body.start:
        head.start = request.body.start
    head.complete = frame.complete


def _decode_request(message) -> RequestHead:
    head = message.request
    length = head.bodyLength
    request = data.Request(
        head.service,
        head.kind,
        head.key,
        head.requestId,
        head.generatedId,
        head.method,
        head.path,
        unpack_headers(head.headers),
        None if length < 0 else length,
        data.Body(head.start, None),
        head.remainingMilliseconds * _MILLISECOND,
    )
    return RequestHead(message.stream, request, head.complete)


def _encode_answer(message, frame: AnswerHead) -> None:
    message.stream = frame.stream
    answer = frame.answer
    head = message.init("answer")
    head.status = answer.status
    head.headers = pack_headers(answer.headers)
    head.bodyLength = -1 if answer.body_length is None else answer.body_length
    if answer.failure:
        head.failure = answer.failure
    if answer.body.start:
        head.start = answer.body.start
    head.complete = frame.complete


def _decode_answer(message) -> AnswerHead:
    head = message.answer
    length = head.bodyLength
    answer = data.Answer(
        head.status,
        unpack_headers(head.headers),
        None if length < 0 else length,
        data.Body(head.start, None),
        head.failure,
    )
    return AnswerHead(message.stream, answer, head.complete)


def _encode_chunk(message, frame: Chunk) -> None:
    message.stream = frame.stream
    message.chunk = bytes(frame.payload)


def _encode_end(message, frame: End) -> None:
    message.stream = frame.stream
    end = message.init("end")
    end.failure = frame.failure
    end.detail = frame.detail


def _encode_cancel(message, frame: Cancel) -> None:
    message.stream = frame.stream
    message.cancel = None


def _encode_credit(message, frame: Credit) -> None:
    message.stream = frame.stream
    message.credit = frame.size


def _encode_member(builder, member: data.Member) -> None:
    builder.entry = member.entry
    builder.incarnation = member.incarnation
    builder.dataCentre = member.data_centre
    builder.host = member.host
    builder.port = member.port
    builder.operatorPort = member.operator_port


def _decode_member(reader) -> data.Member:
    return data.Member(
        reader.entry,
        reader.incarnation,
        reader.dataCentre,
        reader.host,
        reader.port,
        reader.operatorPort,
    )


def _encode_hello(message, hello: messages.Hello) -> None:
    builder = message.init("hello")
    builder.protocol = hello.protocol
    _encode_member(builder.init("member"), hello.member)


def _encode_alive(message, alive: messages.Alive) -> None:
    message.alive = None


def _encode_heartbeat(message, heartbeat: messages.Heartbeat) -> None:
    builder = message.init("heartbeat")
    builder.revision = heartbeat.revision
    age = heartbeat.table_contact_age
    builder.tableContactMilliseconds = -1 if age is None else int(age / _MILLISECOND)
    versions = builder.init("versions", len(heartbeat.versions))
    for item, (service, version) in zip(
        versions, heartbeat.versions.items(), strict=True
    ):
        item.service, item.version = service, version
    members = builder.init("members", len(heartbeat.members))
    for item, member in zip(members, heartbeat.members, strict=True):
        _encode_member(item, member)
    suspicions = builder.init("suspicions", len(heartbeat.suspicions))
    for item, suspicion in zip(suspicions, heartbeat.suspicions, strict=True):
        item.entry, item.incarnation = suspicion


def _decode_heartbeat(message) -> messages.Heartbeat:
    reader = message.heartbeat
    age = reader.tableContactMilliseconds
    return messages.Heartbeat(
        reader.revision,
        {item.service: item.version for item in reader.versions},
        None if age < 0 else age * _MILLISECOND,
        tuple(_decode_member(item) for item in reader.members),
        tuple(
            data.Suspicion(item.entry, item.incarnation) for item in reader.suspicions
        ),
    )


def _encode_fetch(message, fetch: messages.Fetch) -> None:
    builder = message.init("fetch")
    builder.what, builder.name = fetch


def _encode_value(message, value: messages.Value) -> None:
    builder = message.init("value")
    builder.what, builder.name, builder.version, builder.payload = value


_ENCODERS = {
    RequestHead: _encode_request,
    AnswerHead: _encode_answer,
    Chunk: _encode_chunk,
    End: _encode_end,
    Cancel: _encode_cancel,
    Credit: _encode_credit,
    messages.Hello: _encode_hello,
    messages.Alive: _encode_alive,
    messages.Heartbeat: _encode_heartbeat,
    messages.Fetch: _encode_fetch,
    messages.Value: _encode_value,
}

_DECODERS = {
    "request": _decode_request,
    "answer": _decode_answer,
    "chunk": lambda message: Chunk(message.stream, message.chunk),
    "end": lambda message: End(message.stream, message.end.failure, message.end.detail),
    "cancel": lambda message: Cancel(message.stream),
    "credit": lambda message: Credit(message.stream, message.credit),
    "hello": lambda message: messages.Hello(
        message.hello.protocol, _decode_member(message.hello.member)
    ),
    "alive": lambda message: messages.Alive(),
    "heartbeat": _decode_heartbeat,
    "fetch": lambda message: messages.Fetch(message.fetch.what, message.fetch.name),
    "value": lambda message: messages.Value(
        message.value.what,
        message.value.name,
        message.value.version,
        message.value.payload,
    ),
}
