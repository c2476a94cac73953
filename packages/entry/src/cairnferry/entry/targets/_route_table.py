"""Selection of a route by host and path prefix."""

from collections.abc import Iterable

import attrs

from cairnferry.records import PathMatch, Route

_NO_TABLES = {}


@attrs.frozen
class _PrefixTable:
    """Routes of one host that compare their prefixes in the same way.

    Attributes
    ----------
    routes : dict of str to Route
        Routes by the text with which a compared path starts.
    lengths : tuple of int
        Lengths of these texts, in descending order.
    """

    routes: dict[str, Route]
    lengths: tuple[int, ...]

    @classmethod
    def build(cls, routes: dict[str, Route]) -> "_PrefixTable":
        lengths = {len(prefix) for prefix in routes}
        return cls(routes, tuple(sorted(lengths, reverse=True)))

    def find(self, text: str) -> tuple[int, Route | None]:
        """Return the length of the longest prefix of a text, and its route.

        The length is -1 if no prefix begins the text.
        """
        for length in self.lengths:
            route = self.routes.get(text[:length])
            if route is not None:
                return length, route
        return -1, None


@attrs.frozen
class RouteTable:
    """Routes in force, by host and path prefix.

    Attributes
    ----------
    tables : dict
        Tables of prefixes by `PathMatch`, for each host; under None for any host.
    """

    tables: dict[str | None, dict[PathMatch, _PrefixTable]] = attrs.field(factory=dict)

    @classmethod
    def build(cls, routes: Iterable[Route]) -> "RouteTable":
        """Return the table of some routes; of two equal prefixes the last one counts.

        Parameters
        ----------
        routes : iterable of Route
            The routes.
        """
        grouped = {}
        for route in routes:
            identity = route.identity
            by_match = grouped.setdefault(identity.host, {})
            group = by_match.setdefault(identity.path_match, {})
            group[identity.prefix] = route
        tables = {
            host: {match: _PrefixTable.build(group) for match, group in groups.items()}
            for host, groups in grouped.items()
        }
        return cls(tables)

    def find(self, path: str, host: str | None) -> Route | None:
        """Return the route with the longest prefix that begins a path.

        Parameters
        ----------
        path : str
            Path without a query, as the caller sent it.
        host : str or None
            Host as the caller sent it. Of two equal prefixes, that of a route for this
            host counts before that of a route for any host.
        """
        longest, found = -1, None
        for name in (host and _host_name(host), None):
            for match, table in self.tables.get(name, _NO_TABLES).items():
                length, route = table.find(_compared_path(path, match))
                if length > longest:
                    longest, found = length, route
        return found


def _compared_path(path, path_match):
    """Return a path with a slash after its last segment if segments are compared."""
    match path_match:
        case PathMatch.TEXT:
            return path
        case PathMatch.SEGMENTS:
            return path + "/"


def _host_name(host):
    """Return a host in lower case, without its port and the dot of an absolute name."""
    is_ip_v6 = host.startswith("[")
    name = host.partition("]")[0] + "]" if is_ip_v6 else host.partition(":")[0]
    return name.lower().removesuffix(".")
