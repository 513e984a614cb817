"""Tell the orderly end of a stream from one that hides a broken connection."""

import errno


def follows_orderly_end(error: BaseException) -> bool:
    """Return whether the remote end had closed its side before a write failed.

    The kernel reports the error of a connection once. After a failed write, a read
    returns what was received and then the end of the stream, also if the connection was
    reset. A write fails with EPIPE if the remote end's FIN came before the reset, so
    that all it sent was received.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError):
            return cause.errno == errno.EPIPE
        cause = cause.__cause__
    return False
