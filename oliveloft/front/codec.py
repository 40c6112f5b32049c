"""Requests as they arrive from clients, their validation, and replies as they are written.

A request is collected by its connection, piece by piece as the parser gives it out, and validated once it is complete.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from micagate import interface
from oliveloft.backend.limits import HOP_BY_HOP
from oliveloft.bodies.body import Body

QUEUED_REQUEST_BYTES = 1024  # charged for a queued request beside its head and body
MAX_CACHED_WEIGHTS = 256  # distinct X-Weight values whose parsed form is cached
MAX_TIMEOUT_SECONDS = 86400.0  # a longer X-Timeout is rejected as invalid
SUPPORTED_VERSIONS = ("1.0", "1.1")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._~-]{1,128}")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
# Headers that are interpreted here; an X- header among them may occur once.
INTERPRETED_HEADERS = frozenset(
    (
        b"x-priority-class",
        b"x-request-id",
        b"x-timeout",
        b"x-tariff",
        b"x-weight",
        b"x-retried",
        b"content-length",
        b"transfer-encoding",
        b"expect",
    )
)
# Headers that apply to one hop only or that the gatekeeper sets itself; all others are forwarded to the worker.
NOT_FORWARDED_HEADERS = HOP_BY_HOP | {b"x-timeout", b"expect"}


class BadRequest(Exception):
    """A request that is rejected without being dispatched: `status` of the reply, and the reason as its body."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class IncomingRequest:
    """A request while it is being received."""

    __slots__ = (
        "received_at",
        "method",
        "url",
        "headers",
        "forwarded_lines",
        "duplicate_header",
        "extension_headers",
        "body",
        "head_size",
        "size",
        "trailer_size",
        "keep_alive",
        "rejection",
        "streamed_body",
        "content_length",
        "dispatched",
        "is_http_1_0",
    )

    def __init__(self, received_at: float) -> None:
        self.received_at = received_at  # when its last byte was received, once it is complete: its deadline counts on
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}  # those of INTERPRETED_HEADERS
        # Many short lines, or small pieces of a body, take no more memory than their bytes.
        self.forwarded_lines = bytearray()  # the header lines that are forwarded to the worker
        self.body = bytearray()  # unless it is streamed
        self.duplicate_header = b""  # an X- header that occurs more than once
        self.extension_headers = 0  # X- headers that are not interpreted here
        self.head_size = 0  # bytes of the head
        self.size = 0  # bytes of the body
        self.trailer_size = 0  # bytes of the trailer fields
        self.keep_alive = True
        self.rejection: tuple[int, str] | None = None
        self.streamed_body: Body | None = None  # set if the body is too large to buffer: forwarded as it is received
        self.content_length: int | None = None  # the announced length of the body
        self.dispatched = False  # dispatched, or answered, before all of it was received
        self.is_http_1_0 = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Store a header line of the head."""
        lower_name = name.lower()
        value = value.strip(b" \t")  # surrounding whitespace is not part of the value (RFC 9110, 5.5)
        if lower_name in INTERPRETED_HEADERS:
            if lower_name in self.headers:
                self.duplicate_header = lower_name if lower_name.startswith(b"x-") else self.duplicate_header
            self.headers[lower_name] = value
        elif lower_name.startswith(b"x-"):
            self.extension_headers += 1
        if lower_name not in NOT_FORWARDED_HEADERS:
            self.forwarded_lines += b"%b: %b\r\n" % (name, value)

    def check_framing(self, version: str, max_body_bytes: int) -> None:
        """Check how the body of a request is framed, once its head is complete. Raises BadRequest."""
        if version not in SUPPORTED_VERSIONS:
            raise BadRequest(505, "HTTP version")
        self.is_http_1_0 = version == "1.0"
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or self.is_http_1_0):
            raise BadRequest(501, "Transfer-Encoding")  # the parser accepts codings that are not decoded here
        if (length := self.headers.get(b"content-length")) is not None:
            self.content_length = int(length)
            if self.content_length > max_body_bytes:
                raise BadRequest(413, "body too large")

    def drop_body(self) -> None:
        """Release a streamed body: the request is not dispatched."""
        if self.streamed_body is not None:
            self.streamed_body.drop()

    def move_body(self) -> None:
        """Move what was received of a streamed body to its buffer."""
        if self.body and self.streamed_body is not None:
            data, self.body = self.body, bytearray()
            self.streamed_body.append(data)

    @property
    def queued_bytes(self) -> int:
        """What the request takes while it waits behind others."""
        return QUEUED_REQUEST_BYTES + self.head_size + len(self.body)


def _duplicate_extension_header(lines: bytearray) -> bytes:
    """The name, in lower case, of an X- header that occurs more than once in these header lines; empty without one."""
    names = set()
    for line in lines.split(b"\r\n"):
        name = bytes(line.partition(b":")[0]).lower()
        if name.startswith(b"x-"):
            if name in names:
                return name
            names.add(name)
    return b""


class RequestValidator:
    """Turns a complete request into an event for the gateway and a head for a worker, by the settings.

    `max_units` bounds the units of one request. `is_id_in_use` tells whether a request id must not be accepted.
    """

    def __init__(self, settings: interface.Settings, max_units: float, is_id_in_use: Callable[[str], bool]) -> None:
        self._max_units, self._gateways, self._is_id_in_use = max_units, settings.gateways, is_id_in_use
        self._classes = {c.name.encode(): c for c in settings.classes}
        self._plans = {p.name.encode() for p in settings.plans}
        self._weight_cache: dict[bytes, tuple[float, int, int]] = {}

    def validate(
        self, incoming: IncomingRequest, path: bytes, query: bytes, now: float
    ) -> tuple[interface.Request, bytes, float]:
        """Validate a request; return the gateway's event, the head for the worker and the deadline (loop time).

        Raises BadRequest.
        """
        first_segment = path[1:].partition(b"/")[0]
        headers = incoming.headers
        class_name = headers.get(b"x-priority-class")
        klass = self._classes.get(first_segment)
        if klass is None:
            raise BadRequest(404, "path")  # the first path segment must name a request class
        if class_name != first_segment:
            raise BadRequest(400, "X-Priority-Class")  # header and path must name the same class
        if incoming.method != (b"GET" if klass.effect == interface.PURE else b"POST"):
            raise BadRequest(405, "method")
        if (incoming.body or incoming.streamed_body is not None) and klass.effect == interface.PURE:
            raise BadRequest(400, "body")
        if incoming.extension_headers > 1 and not incoming.duplicate_header:
            incoming.duplicate_header = _duplicate_extension_header(incoming.forwarded_lines)
        if incoming.duplicate_header:
            raise BadRequest(400, incoming.duplicate_header.decode("latin-1"))
        request_id, timeout = headers.get(b"x-request-id", b""), headers.get(b"x-timeout", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequest(400, "X-Request-ID")
        if not DECIMAL_PATTERN.fullmatch(timeout) or float(timeout) > MAX_TIMEOUT_SECONDS:
            raise BadRequest(400, "X-Timeout")
        plan = headers.get(b"x-tariff", b"")
        if plan not in self._plans:
            raise BadRequest(400, "X-Tariff")
        customers = [part[9:] for part in query.split(b"&") if part.startswith(b"customer=")]
        if len(customers) != 1 or not CUSTOMER_PATTERN.fullmatch(customers[0]) or int(customers[0], 16) >= 2**33:
            raise BadRequest(400, "customer")
        weight = headers.get(b"x-weight", b"")
        parsed_weight = self._weight_cache.get(weight)  # few distinct values are in use
        if parsed_weight is None:
            parsed_weight = self._parse_weight(weight)
            if len(self._weight_cache) < MAX_CACHED_WEIGHTS:
                self._weight_cache[weight] = parsed_weight
        units, gateway_count, first_gateway = parsed_weight
        deadline = incoming.received_at + min(float(timeout), klass.deadline)
        request_name = request_id.decode()
        if self._is_id_in_use(request_name):
            raise BadRequest(400, "X-Request-ID is in use")
        event = interface.Request(
            request=request_name,
            klass=class_name.decode(),
            plan=plan.decode(),
            customer=customers[0].decode().lower(),
            time_left=max(0.0, deadline - now),
            units=units,
            gateway_count=gateway_count,
            client_retry=headers.get(b"x-retried") == b"1",
            first_gateway=first_gateway,
            complete=incoming.streamed_body is None or incoming.streamed_body.is_complete,
            long_body=incoming.streamed_body is not None,
        )
        target = path + b"?" + query
        size = len(incoming.body)
        if incoming.streamed_body is not None:
            if incoming.streamed_body.is_complete:
                incoming.streamed_body.content_length = incoming.streamed_body.size
            size = incoming.streamed_body.content_length or 0
        length = b"Content-Length: %d\r\n" % size if incoming.method == b"POST" or size else b""
        if incoming.streamed_body is not None and incoming.streamed_body.content_length is None:
            length = b"Transfer-Encoding: chunked\r\n"
        head = b"%b %b HTTP/1.1\r\n%b%b" % (incoming.method, target, incoming.forwarded_lines, length)
        return event, head, deadline

    def _parse_weight(self, text: bytes) -> tuple[float, int, int]:
        """The units, gateway count (`spread`) and first gateway of an X-Weight header. Raises BadRequest."""
        parts = dict(part.strip().partition(b"=")[::2] for part in text.split(b","))
        units, gateway_count, first_gateway = (parts.get(key, b"") for key in (b"units", b"spread", b"first"))
        if not all(DECIMAL_PATTERN.fullmatch(part) for part in (units, gateway_count, first_gateway)):
            raise BadRequest(400, "X-Weight")
        if (
            b"." in gateway_count + first_gateway
            or not 0 < float(units) <= self._max_units
            or not 1 <= int(gateway_count) <= self._gateways
            or int(first_gateway) >= self._gateways
        ):
            raise BadRequest(400, "X-Weight")
        return float(units), int(gateway_count), int(first_gateway)


def format_reply(status: int, headers: bytes, body: bytes, keep_alive: bool) -> bytes:
    """A complete reply; `headers` are whole lines."""
    close = b"" if keep_alive else b"Connection: close\r\n"
    head = (status, REASON_PHRASES[status], headers, len(body), close)
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (*head, body)


def format_stream_head(headers: bytes, length: int | None, chunked: bool, keep_alive: bool) -> bytes:
    """The head of a streamed response; `length` is that of its body in bytes, if known."""
    framing = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    if length is not None:
        framing = b"Content-Length: %d\r\n" % length
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (headers, framing, close)
