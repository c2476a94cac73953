"""Reading of an INI file against a table of keys."""

import configparser

import attrs
from expression import Error, Ok, Result

from cairnferry.settings._faults import SettingFault
from cairnferry.settings._keys import Key

OPTIONS = "options"


@attrs.frozen
class Settings:
    """Checked values by section and key."""

    _values: dict[tuple[str, str], object]

    def get(self, section: str, name: str) -> object:
        """Give the value of a key, its default if it was left out."""
        return self._values[section, name]


def read_settings(
    keys: tuple[Key, ...], path: str | None, overrides: dict[str, str]
) -> Result[Settings, list[SettingFault]]:
    """Read and check settings.

    Parameters
    ----------
    keys : tuple of Key
        Every key that may stand in the file.
    path : str or None
        INI file; None takes options and defaults alone.
    overrides : dict of str to str
        Values by "section.key", which go before the file.

    Returns
    -------
    Result
        The settings, or every fault that was found.
    """
    faults = []
    texts = _read_file(path, faults) if path else {}
    for dotted, text in overrides.items():
        section, _, name = dotted.partition(".")
        texts[section, name] = (OPTIONS, text)
    known = {(key.section, key.name): key for key in keys}
    for (section, name), (source, _text) in texts.items():
        if (section, name) not in known:
            faults.append(SettingFault(source, section, name, "no such key"))
    values = {}
    for key in keys:
        values[key.section, key.name] = _value(key, texts, path, faults)
    return Error(faults) if faults else Ok(Settings(values))


def _read_file(path, faults):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as exc:
        faults.append(SettingFault(path, "-", "-", f"cannot be read: {exc.strerror}"))
    except (configparser.Error, UnicodeDecodeError) as exc:
        reason = str(exc).replace("\n", " ")
        faults.append(SettingFault(path, "-", "-", f"is not INI: {reason}"))
    return {
        (section, name): (path, text)
        for section in parser.sections()
        for name, text in parser.items(section)
    }


def _value(key, texts, path, faults):
    found = texts.get((key.section, key.name))
    if found is None:
        if key.required:
            source = path or OPTIONS
            fault = SettingFault(
                source, key.section, key.name, f"is missing: {key.expected}"
            )
            faults.append(fault)
        return key.default
    source, text = found
    try:
        return key.parse(text.strip())
    except ValueError:
        expected = f"{key.expected}, not {text!r}"
        faults.append(SettingFault(source, key.section, key.name, expected))
        return key.default


def format_key_table(keys: tuple[Key, ...]) -> str:
    """Give the table of keys in Markdown, for the pages and `--help`."""
    lines = [
        "| section | key | value | unit | default | range | meaning |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for key in keys:
        default = "required" if key.required else _shown_default(key)
        limits = "-" if key.minimum is None else f"{key.minimum} to {key.maximum}"
        cells = [key.section, key.name, key.sort, key.unit, default, limits, key.help]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _shown_default(key):
    if key.default is None or key.default == ():
        return "none"
    if isinstance(key.default, bool):
        return "yes" if key.default else "no"
    return str(key.default)
