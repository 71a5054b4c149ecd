"""Failures of the codecs."""

from bilberryramp.decisions.shared import errors

__all__ = ["MalformedMessageError"]


class MalformedMessageError(errors.BilberryError):
    """Bytes that are not an encoded message of this version."""
