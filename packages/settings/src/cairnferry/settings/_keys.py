"""Keys of settings and the types of their values."""

import enum
import ipaddress
import re

import attrs

MAX_PORT = 65535
_NAME = re.compile(r"^[a-z0-9][a-z0-9.-]{0,62}\Z")
_BOOLEANS = {"yes": True, "no": False}


class ValueType(enum.StrEnum):
    """Type of a value."""

    NAME = "name"
    ADDRESS = "address"
    ADDRESSES = "addresses"
    INTEGER = "whole number"
    NUMBER = "number"
    BOOLEAN = "yes or no"
    PATH = "path"


@attrs.frozen
class Address:
    """IP address and TCP port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"

    def as_tuple(self) -> tuple[str, int]:
        """Return the address as (host, port), as sockets use it."""
        return (self.host, self.port)


@attrs.frozen
class Key:
    """One key of the settings.

    Attributes
    ----------
    section, name : str
        Section and name of the key in the file.
    value_type : ValueType
        Type of the value.
    help : str
        Description of the key in one line, for the table of keys.
    default : object
        Default value; None makes the key required unless it is optional.
    unit : str
        Unit of the value; "-" if it has none.
    minimum, maximum : float or None
        Limits of a number, inclusive; None for no limit.
    optional : bool
        Whether the key may be omitted although it has no default.
    choices : tuple of str
        Allowed values of a name; empty allows all.
    """

    section: str
    name: str
    value_type: ValueType
    help: str
    default: object = None
    unit: str = "-"
    minimum: float | None = None
    maximum: float | None = None
    optional: bool = False
    choices: tuple[str, ...] = ()

    @property
    def required(self) -> bool:
        """Whether the settings must contain the key."""
        return self.default is None and not self.optional

    @property
    def expected(self) -> str:
        """Description of the expected value, for error messages."""
        if self.choices:
            return "expected one of " + ", ".join(self.choices)
        text = f"expected {_TYPE_DESCRIPTIONS[self.value_type]}"
        if self.minimum is not None or self.maximum is not None:
            text += f" from {self.minimum} to {self.maximum}"
        return text if self.unit == "-" else f"{text} ({self.unit})"

    def parse(self, text: str) -> object:
        """Parse the text of a value.

        Raises
        ------
        ValueError
            If the value does not have the type of the key or is out of range.
        """
        value = _PARSERS[self.value_type](text)
        if self.choices and value not in self.choices:
            raise ValueError(text)
        if self.minimum is not None and value < self.minimum:
            raise ValueError(text)
        if self.maximum is not None and value > self.maximum:
            raise ValueError(text)
        return value


def parse_address(text: str) -> Address:
    """Parse an address of the form "IP:port".

    Raises
    ------
    ValueError
        If the text is not an IPv4 address and a port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal():
        raise ValueError(text)
    ipaddress.IPv4Address(host)
    number = int(port)
    if number > MAX_PORT:
        raise ValueError(text)
    return Address(host, number)


def _parse_addresses(text):
    return tuple(
        parse_address(part.strip()) for part in text.split(",") if part.strip()
    )


def _parse_name(text):
    if not _NAME.match(text):
        raise ValueError(text)
    return text


def _parse_boolean(text):
    if text not in _BOOLEANS:
        raise ValueError(text)
    return _BOOLEANS[text]


def _parse_number(text):
    value = float(text)
    # "nan" passes every range check and would be passed to a timer.
    if value != value:
        raise ValueError(text)
    return value


def _parse_path(text):
    if not text:
        raise ValueError(text)
    return text


_PARSERS = {
    ValueType.NAME: _parse_name,
    ValueType.ADDRESS: parse_address,
    ValueType.ADDRESSES: _parse_addresses,
    ValueType.INTEGER: int,
    ValueType.NUMBER: _parse_number,
    ValueType.BOOLEAN: _parse_boolean,
    ValueType.PATH: _parse_path,
}

_TYPE_DESCRIPTIONS = {
    ValueType.NAME: "a name of lower-case letters, digits, '.' and '-'",
    ValueType.ADDRESS: "IP:port",
    ValueType.ADDRESSES: "a list of IP:port, separated by commas",
    ValueType.INTEGER: "a whole number",
    ValueType.NUMBER: "a number",
    ValueType.BOOLEAN: "yes or no",
    ValueType.PATH: "a path",
}
