"""Exceptions raised by the codecs."""

from bilberryramp.decisions.shared import errors

__all__ = ["MalformedMessageError"]


class MalformedMessageError(errors.BilberryError):
    """Raised when data is not a valid message, or a value has no encoding.

    The bytes may be damaged or may come from another protocol version.
    """
