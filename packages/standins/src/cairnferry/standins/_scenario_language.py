"""Parser of scenario files."""

import importlib.resources

import attrs
import lark


@attrs.frozen
class Step:
    """One step, as written on one line of a scenario file.

    Attributes
    ----------
    verb : str
        Name of the step.
    arguments : tuple of str
        Positional arguments.
    settings : dict of str to str
        Arguments in the form key=value.
    line : int
        Line number in the file.
    """

    verb: str
    arguments: tuple[str, ...]
    settings: dict[str, str]
    line: int


@attrs.frozen
class Scenario:
    """A parsed scenario file.

    Attributes
    ----------
    title, symptom, events, cause : str
        Texts of the head.
    steps : tuple of Step
        Steps in the order of the file.
    """

    title: str
    symptom: str
    events: str
    cause: str
    steps: tuple[Step, ...]


class _Builder(lark.Transformer):
    """Builds a `Scenario` from a parse tree."""

    def head(self, items):
        return [str(item)[1:-1] for item in items]

    def setting(self, items):
        return str(items[0])[:-1], _unquoted(items[1])

    def step(self, items):
        verb = items[0]
        arguments = tuple(_unquoted(i) for i in items[1:] if not isinstance(i, tuple))
        settings = dict(item for item in items[1:] if isinstance(item, tuple))
        return Step(str(verb), arguments, settings, verb.line)

    def start(self, items):
        return Scenario(*items[0], tuple(items[1:]))


def _unquoted(token):
    return str(token).strip('"')


def parse_scenario(text: str) -> Scenario:
    """Parse the text of a scenario file.

    Raises
    ------
    lark.exceptions.UnexpectedInput
        If the text does not follow the grammar; the error has line and column.
    """
    grammar = importlib.resources.files(__package__).joinpath("_scenario.lark")
    parser = lark.Lark(grammar.read_text(), parser="lalr", lexer="contextual")
    return _Builder().transform(parser.parse(text.strip() + "\n"))
