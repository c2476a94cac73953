"""Header fields of one request, as WSGI servers want them.

The standard library's parser is made for mail; it took an eighth of the
daemon's processor time (see docs/design/0007-request-path.md). Here each line
is one field, and what is ambiguous is refused instead of mended.
"""

import re

_FIELD = re.compile(rb"^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*?)[ \t]*\r?\n\Z")
_END = (b"\r\n", b"\n")


class MalformedField(ValueError):
    """A header line that is no field, or a head that ends too early."""


class HeadFields:
    """Fields in the order received; names compare without regard to case.

    Parameters
    ----------
    pairs : list of (str, str)
        Names and values.
    """

    status = ""

    def __init__(self, pairs: list[tuple[str, str]]):
        self._pairs = pairs

    def get_all(self, name: str) -> list[str]:
        """Give all values of a field; `name` in lower case."""
        return [value for key, value in self._pairs if key.lower() == name]

    def get(self, name: str, default=None):
        """Give the first value of a field."""
        name = name.lower()
        for key, value in self._pairs:
            if key.lower() == name:
                return value
        return default

    getheader = get

    def __delitem__(self, name):
        name = name.lower()
        self._pairs = [pair for pair in self._pairs if pair[0].lower() != name]

    def items(self) -> list[tuple[str, str]]:
        """Give all fields."""
        return self._pairs

    @property
    def typeheader(self):
        """Value of Content-Type."""
        return self.get("content-type")

    @property
    def headers(self):
        """Fields as lines."""
        return [f"{name}: {value}\r\n" for name, value in self._pairs]


def read_fields(readline) -> HeadFields:
    """Read header lines up to the empty one.

    Parameters
    ----------
    readline : callable
        Gives the next line; bounds the whole head.

    Raises
    ------
    MalformedField
        If a line is no field. A folded line is none: servers differ in what
        they take it for.
    """
    pairs = []
    while True:
        line = readline()
        if line in _END:
            return HeadFields(pairs)
        match = _FIELD.match(line)
        if match is None:
            raise MalformedField(line[:40])
        name, value = match.groups()
        pairs.append((name.decode("latin-1"), value.decode("latin-1")))
