"""Header fields of one request, with the interface that gevent's WSGI server expects.

The standard library's parser is designed for mail and took an eighth of the daemon's
CPU time (see docs/design/0007-request-path.md). This parser accepts one field per line
and rejects ambiguous lines instead of repairing them.
"""

import re

_NAME = re.compile(rb"^[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_END = (b"\r\n", b"\n")
_SPACES = b" \t"


class MalformedField(ValueError):
    """A header line that is not a valid field, or a head that ends too early."""


class HeadFields:
    """Fields in the order received; names are case-insensitive.

    Parameters
    ----------
    pairs : list of (str, str)
        Names and values.
    """

    status = ""

    def __init__(self, pairs: list[tuple[str, str]]):
        self._pairs = pairs
        self._values = _by_name(pairs)

    def get_all(self, name: str) -> list[str]:
        """Return all values of a field; `name` is in lower case."""
        return self._values.get(name, [])

    def get(self, name: str, default=None):
        """Return the first value of a field."""
        values = self._values.get(name.lower())
        return values[0] if values else default

    getheader = get

    def __delitem__(self, name):
        name = name.lower()
        self._pairs = [pair for pair in self._pairs if pair[0].lower() != name]
        self._values.pop(name, None)

    def items(self) -> list[tuple[str, str]]:
        """Return all fields."""
        return self._pairs

    @property
    def typeheader(self):
        """Value of Content-Type."""
        return self.get("content-type")

    @property
    def headers(self):
        """Fields as header lines."""
        return [f"{name}: {value}\r\n" for name, value in self._pairs]


def _by_name(pairs):
    values = {}
    for name, value in pairs:
        values.setdefault(name.lower(), []).append(value)
    return values


def read_fields(readline) -> HeadFields:
    """Read header lines up to the empty line.

    Parameters
    ----------
    readline : callable
        Returns the next line; limits the size of the whole head.

    Raises
    ------
    MalformedField
        If a line is not a valid field. Folded lines are rejected too, because servers
        interpret them differently.
    """
    pairs = []
    while True:
        line = readline()
        if line in _END:
            return HeadFields(pairs)
        pairs.append(_read_field(line))


def _read_field(line):
    name, colon, rest = line.partition(b":")
    is_whole = rest.endswith(b"\n")
    value = rest[:-1].removesuffix(b"\r").strip(_SPACES)
    if not colon or not is_whole or not _NAME.match(name):
        # The line may contain a key.
        raise MalformedField("a line is not a valid field")
    return name.decode("latin-1"), value.decode("latin-1")
