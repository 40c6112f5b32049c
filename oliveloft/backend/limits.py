"""Message limits that apply to clients and workers alike, and the headers that are not forwarded."""

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a larger body is streamed: forwarded while it is received
MAX_HEAD_BYTES = 16 * 1024
STALL_TIMEOUT_SECONDS = 8.0  # a streamed body without a byte for this time counts as stalled
# Headers of one hop (RFC 9110, 7.6.1), and Content-Length, which is written anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
