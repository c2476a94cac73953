"""Reasons for which a request is not authenticated."""

import enum


class KeyFault(enum.Enum):
    """Reason for which a request is not authenticated."""

    MISSING = "key-missing"
    MALFORMED = "key-malformed"
    REPEATED = "key-repeated"
    UNKNOWN = "key-unknown"
