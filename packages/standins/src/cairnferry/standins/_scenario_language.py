"""Scenario files: the grammar and what it gives."""

import importlib.resources

import attrs
import lark


@attrs.frozen
class Step:
    """One line.

    Attributes
    ----------
    verb : str
        What to do.
    words : tuple of str
        Its arguments.
    settings : dict of str to str
        Its key=value arguments.
    line : int
        Line number.
    """

    verb: str
    words: tuple[str, ...]
    settings: dict[str, str]
    line: int


@attrs.frozen
class Scenario:
    """A parsed file.

    Attributes
    ----------
    title, symptom, events, cause : str
        Its head.
    steps : tuple of Step
        Its steps.
    """

    title: str
    symptom: str
    events: str
    cause: str
    steps: tuple[Step, ...]


class _Builder(lark.Transformer):
    def head(self, items):
        return [str(item)[1:-1] for item in items]

    def setting(self, items):
        return str(items[0])[:-1], _unquoted(items[1])

    def step(self, items):
        verb = items[0]
        words = tuple(_unquoted(i) for i in items[1:] if not isinstance(i, tuple))
        settings = dict(item for item in items[1:] if isinstance(item, tuple))
        return Step(str(verb), words, settings, verb.line)

    def start(self, items):
        return Scenario(*items[0], tuple(items[1:]))


def _unquoted(token):
    return str(token).strip('"')


def parse_scenario(text: str) -> Scenario:
    """Parse the text of a scenario file.

    Raises
    ------
    lark.exceptions.UnexpectedInput
        If it does not follow the grammar; the error shows where.
    """
    grammar = importlib.resources.files(__package__).joinpath("_scenario.lark")
    parser = lark.Lark(grammar.read_text(), parser="lalr", lexer="contextual")
    return _Builder().transform(parser.parse(text.strip() + "\n"))
