"""Limits and timeouts of client connections."""

from oliveloft.backend.limits import MAX_BUFFERED_BODY_BYTES

IDLE_TIMEOUT_SECONDS = 2.0  # an idle client connection is closed after this time
FIRST_REQUEST_TIMEOUT_SECONDS = 2.0  # the same for a connection that has not sent a valid request yet
SLOW_CLIENT_TIMEOUT_SECONDS = 2.5  # time for a client to send a request, or to read a reply
LINGER_SECONDS = 0.5  # time for the client of a rejected request to read the reply and to close
MAX_LINGER_BYTES = 2 * MAX_BUFFERED_BODY_BYTES  # input that is read and discarded in that time
STREAM_SEND_BUFFER_BYTES = 128 * 1024  # SO_SNDBUF of a connection that carries a streamed response
MAX_REJECTED_REQUESTS = 3  # 404 or 405 replies until the connection is closed; other rejections close it at once
# Requests queued on one connection, and bytes of their bodies, at which reading from it pauses.
MAX_PIPELINED_REQUESTS = 16
MAX_PIPELINED_BYTES = MAX_BUFFERED_BODY_BYTES
HEAD_READ_BYTES = 16 * 1024  # read at once from a client that is not sending a body
BODY_READ_BYTES = 256 * 1024  # read at once of a body
CHUNKED_READ_BYTES = 32 * 1024  # the same of a body in chunks, which may be very small
PIPELINE_READ_BYTES = 4 * 1024  # read at once behind a request that is in progress
GATHERED_PIECE_BYTES = 4 * 1024  # smaller pieces of a body are gathered
PARSE_STEP_BYTES = 4 * 1024  # parsed before the queue is looked at; a whole body is parsed at once
MAX_PARSED_AT_ONCE = 32  # requests parsed before other connections get their turn
MAX_PIECES_AT_ONCE = 512  # the same for pieces of a body
FULL_RECEIVE_BUFFER_BYTES = 256 * 1024  # a receive buffer with so much counts as full, and one that does not grow
MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # that the system of a client takes (tcp_wmem)
MAX_SEPARATE_PIECES = 320  # of a streamed response, written at once as they are; the system takes 1,024 buffers
OUTPUT_STEP_BYTES = 256 * 1024  # written at once of a response that waited for its client
# Of a streamed response, in the transport's write buffer before it pauses; also as a share of the budget.
STREAM_WRITE_BUFFER_BYTES, STREAM_WRITE_BUFFER_SHARE = 64 * 1024, 1 / 512
STALLED_HOLDER_SECONDS = 0.5  # without memory, a client that sends nothing for this time may lose its request
STARVED_HOLDER_SECONDS = 1.0  # the same for a request that is not read for lack of memory
