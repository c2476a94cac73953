"""Reading and validation of an INI file against a table of keys."""

import configparser

import attrs
from expression import Error, Ok, Result

from cairnferry.settings._faults import SettingFault
from cairnferry.settings._keys import Key

OPTIONS = "options"


@attrs.frozen
class Settings:
    """Validated values by section and key."""

    _values: dict[tuple[str, str], object]

    def get(self, section: str, name: str) -> object:
        """Return the value of a key, or its default if the settings omit the key."""
        return self._values[section, name]


def read_settings(
    keys: tuple[Key, ...], path: str | None, overrides: dict[str, str]
) -> Result[Settings, list[SettingFault]]:
    """Read and validate settings.

    Parameters
    ----------
    keys : tuple of Key
        All keys that the file may contain.
    path : str or None
        Path of the INI file; None uses only overrides and defaults.
    overrides : dict of str to str
        Values by "section.key"; they take precedence over the file.

    Returns
    -------
    Result
        The settings, or all errors found.
    """
    faults = []
    entries = _read_file(path, faults) if path else {}
    for dotted, text in overrides.items():
        section, _, name = dotted.partition(".")
        entries[section, name] = (OPTIONS, text)
    known = {(key.section, key.name): key for key in keys}
    for (section, name), (source, _text) in entries.items():
        if (section, name) not in known:
            faults.append(SettingFault(source, section, name, "no such key"))
    values = {}
    for key in keys:
        values[key.section, key.name] = _parse_value(key, entries, path, faults)
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


def _parse_value(key, entries, path, faults):
    entry = entries.get((key.section, key.name))
    if entry is None:
        if key.required:
            source = path or OPTIONS
            fault = SettingFault(
                source, key.section, key.name, f"is missing: {key.expected}"
            )
            faults.append(fault)
        return key.default
    source, text = entry
    try:
        return key.parse(text.strip())
    except ValueError:
        expected = f"{key.expected}, not {text!r}"
        faults.append(SettingFault(source, key.section, key.name, expected))
        return key.default


def format_key_table(keys: tuple[Key, ...]) -> str:
    """Return the table of keys in Markdown, for the documentation and `--help`."""
    lines = [
        "| section | key | value | unit | default | range | meaning |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for key in keys:
        default = "required" if key.required else _format_default(key)
        limits = "-" if key.minimum is None else f"{key.minimum} to {key.maximum}"
        cells = [
            key.section,
            key.name,
            key.value_type,
            key.unit,
            default,
            limits,
            key.help,
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _format_default(key):
    if key.default is None or key.default == ():
        return "none"
    if isinstance(key.default, bool):
        return "yes" if key.default else "no"
    return str(key.default)
